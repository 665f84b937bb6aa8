package sagepulley.scenario;

import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.EventExecutor;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Tells how long this machine, or a loop of the stand-ins and clients, stood still: beats that are
 * due every few milliseconds are noted where they come late. What is judged by the clock allows for
 * that much, or a loaded machine would be judged instead of a gateway.
 */
public final class StallDetector implements AutoCloseable {
    private static final double TICK_MILLIS = 5;
    private static final double EXPECTED_DELAY_MILLIS = 2;

    /** What is judged takes no longer than this; stalls further apart do not add up. */
    private static final double WINDOW_MILLIS = 3_000;

    /** One who beats. */
    private static final class TickSource {
        private final List<double[]> stalls = new ArrayList<>();
        private long lastTickNanos = System.nanoTime();

        synchronized void tick() {
            long now = System.nanoTime();
            double late = (now - lastTickNanos) / 1e6 - TICK_MILLIS - EXPECTED_DELAY_MILLIS;
            if (late > 0) {
                stalls.add(new double[] {now / 1e6, late});
            }
            lastTickNanos = now;
        }

        synchronized double worstStallMillis() {
            tick();
            double worst = 0;
            double sum = 0;
            for (int first = 0, i = 0; i < stalls.size(); i++) {
                sum += stalls.get(i)[1];
                while (stalls.get(i)[0] - stalls.get(first)[0] > WINDOW_MILLIS) {
                    sum -= stalls.get(first++)[1];
                }
                worst = Math.max(worst, sum);
            }
            return worst;
        }
    }

    private final List<TickSource> sources = new CopyOnWriteArrayList<>();
    private volatile boolean closed;

    public StallDetector() {
        TickSource source = new TickSource();
        sources.add(source);
        Thread thread =
                new Thread(
                        () -> {
                            while (!closed) {
                                try {
                                    Thread.sleep((long) TICK_MILLIS);
                                } catch (InterruptedException e) {
                                    return;
                                }
                                source.tick();
                            }
                        },
                        "metronome");
        thread.setDaemon(true);
        thread.start();
    }

    /** Watches the loops of a group as well. */
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
     * The most milliseconds of standing still within any three seconds, here or on a watched loop.
     */
    public double worstStallMillis() {
        return sources.stream().mapToDouble(TickSource::worstStallMillis).sum();
    }

    @Override
    public void close() {
        closed = true;
    }
}
