package sagepulley.transport;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * Shares an event loop between the peers whose input it has not worked off: each gets a turn of
 * limited work, in order, and after some turns the loop polls its sockets and runs its other tasks.
 * Confined to the event loop.
 */
public final class RoundRobinExecutor {
    /** Time after which no further turn begins before the loop polls its sockets. */
    private static final long MAX_RUN_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    private final EventLoop loop;
    private final ArrayDeque<Runnable> turns = new ArrayDeque<>();
    private boolean scheduled;

    /** Creates an executor for the peers of an event loop. */
    public RoundRobinExecutor(EventLoop loop) {
        this.loop = loop;
    }

    /** Returns whether any peer waits for its turn. */
    public boolean isBusy() {
        return !turns.isEmpty();
    }

    /** Adds a peer's turn behind those that wait. */
    public void add(Runnable turn) {
        turns.add(turn);
        schedule();
    }

    /**
     * Schedules a run behind the next poll. A task that is scheduled runs after the loop has polled
     * its sockets; one that is passed to execute may run before that.
     */
    private void schedule() {
        if (!scheduled) {
            scheduled = true;
            loop.schedule(this::run, 0, TimeUnit.NANOSECONDS);
        }
    }

    private void run() {
        scheduled = false;
        long startedAt = System.nanoTime();
        try {
            do {
                turns.poll().run();
            } while (!turns.isEmpty() && System.nanoTime() - startedAt < MAX_RUN_NANOS);
        } finally {
            if (!turns.isEmpty()) {
                schedule();
            }
        }
    }
}
