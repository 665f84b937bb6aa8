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
    private static final double BEAT = 5;
    private static final double USUAL_LATE = 2;

    /** What is judged takes no longer than this; stalls further apart do not add up. */
    private static final double WINDOW = 3_000;

    /** One who beats. */
    private static final class Beat {
        private final List<double[]> stalls = new ArrayList<>();
        private long before = System.nanoTime();

        synchronized void beats() {
            long now = System.nanoTime();
            double late = (now - before) / 1e6 - BEAT - USUAL_LATE;
            if (late > 0) {
                stalls.add(new double[] {now / 1e6, late});
            }
            before = now;
        }

        synchronized double worst() {
            beats();
            double worst = 0;
            double sum = 0;
            for (int first = 0, i = 0; i < stalls.size(); i++) {
                sum += stalls.get(i)[1];
                while (stalls.get(i)[0] - stalls.get(first)[0] > WINDOW) {
                    sum -= stalls.get(first++)[1];
                }
                worst = Math.max(worst, sum);
            }
            return worst;
        }
    }

    private final List<Beat> beats = new CopyOnWriteArrayList<>();
    private volatile boolean closed;

    public StallDetector() {
        Beat beat = new Beat();
        beats.add(beat);
        Thread thread =
                new Thread(
                        () -> {
                            while (!closed) {
                                try {
                                    Thread.sleep((long) BEAT);
                                } catch (InterruptedException e) {
                                    return;
                                }
                                beat.beats();
                            }
                        },
                        "metronome");
        thread.setDaemon(true);
        thread.start();
    }

    /** Watches the loops of a group as well. */
    public StallDetector watch(EventLoopGroup loops) {
        for (EventExecutor loop : loops) {
            Beat beat = new Beat();
            beats.add(beat);
            again(loop, beat);
        }
        return this;
    }

    private void again(ScheduledExecutorService loop, Beat beat) {
        if (!closed && !loop.isShutdown()) {
            loop.schedule(
                    () -> {
                        beat.beats();
                        again(loop, beat);
                    },
                    (long) BEAT,
                    TimeUnit.MILLISECONDS);
        }
    }

    /**
     * The most milliseconds of standing still within any three seconds, here or on a watched loop.
     */
    public double stoodStill() {
        return beats.stream().mapToDouble(Beat::worst).sum();
    }

    @Override
    public void close() {
        closed = true;
    }
}
