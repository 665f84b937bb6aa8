package sagepulley.codec.frame;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

/**
 * Runs one task at the earliest of the times that were asked for; then it must be asked anew. On
 * the loop.
 */
public final class EventLoopTimer {
    private static final double NS = 1e6;
    private static final long SHORTEST_NS = 1000;

    private final EventLoop loop;
    private final DoubleSupplier clock;
    private final Runnable task;
    private ScheduledFuture<?> due;
    private double dueAt;

    /** The clock tells milliseconds. */
    public EventLoopTimer(EventLoop loop, DoubleSupplier clock, Runnable task) {
        this.loop = loop;
        this.clock = clock;
        this.task = task;
    }

    /** At this time at the latest; infinite: whenever it was asked for before. */
    public void by(double time) {
        if ((due != null && time >= dueAt) || time == Double.POSITIVE_INFINITY) {
            return;
        }
        if (due != null) {
            due.cancel(false);
        }
        dueAt = time;
        long wait = Math.max(SHORTEST_NS, (long) Math.ceil((time - clock.getAsDouble()) * NS));
        due =
                loop.schedule(
                        () -> {
                            due = null;
                            task.run();
                        },
                        wait,
                        TimeUnit.NANOSECONDS);
    }

    /** Forgets the time that was asked for. */
    public void cancel() {
        if (due != null) {
            due.cancel(false);
            due = null;
        }
    }
}
