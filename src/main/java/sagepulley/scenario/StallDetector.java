package sagepulley.scenario;

import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.EventExecutor;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Measures stalls of this process and of the event loops of stand-ins and clients from periodic
 * ticks that run late. Checks on times add the stalls to their tolerance, so that a loaded machine
 * is not reported as a breach by a gateway.
 */
public final class StallDetector implements AutoCloseable {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double TICK_MILLIS = 5;
    private static final double EXPECTED_DELAY_MILLIS = 2;

    /** The checked delays are shorter than this, so stalls further apart are not added up. */
    private static final double WINDOW_MILLIS = 3_000;

    /** A late tick; its time is System.nanoTime in milliseconds. */
    private record Stall(double atMillis, double lateMillis) {}

    /** Records the late ticks of one thread. */
    private static final class TickSource {
        private final List<Stall> stalls = new ArrayList<>();
        private long lastTickNanos = System.nanoTime();

        synchronized void tick() {
            long now = System.nanoTime();
            double lateMillis =
                    (now - lastTickNanos) / NANOS_PER_MILLI - TICK_MILLIS - EXPECTED_DELAY_MILLIS;
            if (lateMillis > 0) {
                stalls.add(new Stall(now / NANOS_PER_MILLI, lateMillis));
            }
            lastTickNanos = now;
        }

        synchronized double worstStallMillis() {
            tick();
            double maxMillis = 0;
            double sum = 0;
            for (int windowStart = 0, i = 0; i < stalls.size(); i++) {
                sum += stalls.get(i).lateMillis();
                while (stalls.get(i).atMillis() - stalls.get(windowStart).atMillis()
                        > WINDOW_MILLIS) {
                    sum -= stalls.get(windowStart++).lateMillis();
                }
                maxMillis = Math.max(maxMillis, sum);
            }
            return maxMillis;
        }
    }

    private final List<TickSource> sources = new CopyOnWriteArrayList<>();
    private volatile boolean closed;

    /** Starts a thread that detects stalls of the whole process. */
    public StallDetector() {
        TickSource source = new TickSource();
        sources.add(source);
        Thread thread = new Thread(() -> tickUntilClosed(source), "stall-detector");
        thread.setDaemon(true);
        thread.start();
    }

    private void tickUntilClosed(TickSource source) {
        while (!closed) {
            try {
                Thread.sleep((long) TICK_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
            source.tick();
        }
    }

    /** Also measures the event loops of a group. */
    public StallDetector watch(EventLoopGroup loops) {
        for (EventExecutor loop : loops) {
            TickSource source = new TickSource();
            sources.add(source);
            scheduleTick(loop, source);
        }
        return this;
    }

    private void scheduleTick(ScheduledExecutorService loop, TickSource source) {
        if (!closed && !loop.isShutdown()) {
            loop.schedule(
                    () -> {
                        source.tick();
                        scheduleTick(loop, source);
                    },
                    (long) TICK_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Returns the sum, over this detector's thread and all event loops measured, of the largest
     * total stall of each within any three seconds, in milliseconds.
     */
    public double worstStallMillis() {
        return sources.stream().mapToDouble(TickSource::worstStallMillis).sum();
    }

    @Override
    public void close() {
        closed = true;
    }
}
