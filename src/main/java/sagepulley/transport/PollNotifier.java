package sagepulley.transport;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Runs tasks once an event loop has polled its sockets, and has read what they had received by
 * then. Confined to the event loop.
 */
public final class PollNotifier {
    private final EventLoop loop;
    private List<Runnable> requested = new ArrayList<>();

    /** Creates a notifier of an event loop. */
    public PollNotifier(EventLoop loop) {
        this.loop = loop;
    }

    /** Runs a task after the next poll. */
    public void runAfterPoll(Runnable task) {
        if (requested.isEmpty()) {
            schedule(this::beforePoll);
        }
        requested.add(task);
    }

    /** Runs in the loop's present iteration or in the next one, before that has ended. */
    private void beforePoll() {
        List<Runnable> due = requested;
        requested = new ArrayList<>();
        schedule(() -> due.forEach(Runnable::run));
    }

    /** The loop takes scheduled tasks that are due before it runs any, so this one comes later. */
    private void schedule(Runnable task) {
        loop.schedule(task, 0, TimeUnit.NANOSECONDS);
    }
}
