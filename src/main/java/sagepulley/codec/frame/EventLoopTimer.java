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
    private static final double NANOS_PER_MILLI = 1e6;
    private static final long MIN_DELAY_NANOS = 1000;

    private final EventLoop loop;
    private final DoubleSupplier clock;
    private final Runnable task;
    private ScheduledFuture<?> scheduled;
    private double scheduledAt;

    /** The clock tells milliseconds. */
    public EventLoopTimer(EventLoop loop, DoubleSupplier clock, Runnable task) {
        this.loop = loop;
        this.clock = clock;
        this.task = task;
    }

    /** At this time at the latest; infinite: whenever it was asked for before. */
    public void by(double time) {
        if ((scheduled != null && time >= scheduledAt) || time == Double.POSITIVE_INFINITY) {
            return;
        }
        if (scheduled != null) {
            scheduled.cancel(false);
        }
        scheduledAt = time;
        long wait =
                Math.max(
                        MIN_DELAY_NANOS,
                        (long) Math.ceil((time - clock.getAsDouble()) * NANOS_PER_MILLI));
        scheduled =
                loop.schedule(
                        () -> {
                            scheduled = null;
                            task.run();
                        },
                        wait,
                        TimeUnit.NANOSECONDS);
    }

    /** Forgets the time that was asked for. */
    public void cancel() {
        if (scheduled != null) {
            scheduled.cancel(false);
            scheduled = null;
        }
    }
}
