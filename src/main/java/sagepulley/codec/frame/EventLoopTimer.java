package sagepulley.codec.frame;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

/** Runs a task once at the earliest of the requested times. Confined to its event loop. */
public final class EventLoopTimer {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final long MIN_DELAY_NANOS = 1000;

    private final EventLoop loop;
    private final DoubleSupplier clock;
    private final Runnable task;
    private ScheduledFuture<?> scheduled;
    private double dueTime;

    /** Creates a timer whose clock returns milliseconds. */
    public EventLoopTimer(EventLoop loop, DoubleSupplier clock, Runnable task) {
        this.loop = loop;
        this.clock = clock;
        this.task = task;
    }

    /**
     * Schedules the task to run at the given time at the latest. Has no effect if the time is
     * infinite or the task is already scheduled for that time or earlier.
     */
    public void scheduleBy(double time) {
        if ((scheduled != null && time >= dueTime) || time == Double.POSITIVE_INFINITY) {
            return;
        }
        if (scheduled != null) {
            scheduled.cancel(false);
        }
        dueTime = time;
        long delayNanos =
                Math.max(
                        MIN_DELAY_NANOS,
                        (long) Math.ceil((time - clock.getAsDouble()) * NANOS_PER_MILLI));
        scheduled =
                loop.schedule(
                        () -> {
                            scheduled = null;
                            task.run();
                        },
                        delayNanos,
                        TimeUnit.NANOSECONDS);
    }

    /** Cancels the scheduled run, if any. */
    public void cancel() {
        if (scheduled != null) {
            scheduled.cancel(false);
            scheduled = null;
        }
    }
}
