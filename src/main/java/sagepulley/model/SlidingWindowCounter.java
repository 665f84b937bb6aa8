package sagepulley.model;

import java.util.Arrays;

/** A sum over the latest stretch of time, kept in fixed buckets that are used again in a ring. */
public final class SlidingWindowCounter {
    private final double bucket;
    private final double[] sums;
    private long newest = Long.MIN_VALUE;

    /**
     * Covers at least the window: one more bucket than divides it is kept for the part that is
     * running.
     */
    public SlidingWindowCounter(double window, int buckets) {
        this.bucket = window / buckets;
        this.sums = new double[buckets + 1];
    }

    public void add(double now, double amount) {
        turn(now);
        sums[slot(newest)] += amount;
    }

    /** Everything of the window and up to one bucket more. */
    public double sumOverestimate(double now) {
        turn(now);
        double sum = 0;
        for (double part : sums) {
            sum += part;
        }
        return sum;
    }

    /** Nothing older than the window, and up to one bucket less than it. */
    public double sumUnderestimate(double now) {
        return sumOverestimate(now) - sums[slot(newest + 1)];
    }

    private void turn(double now) {
        long at = (long) Math.floor(now / bucket);
        if (at <= newest) {
            return;
        }
        if (newest == Long.MIN_VALUE || at - newest >= sums.length) {
            Arrays.fill(sums, 0);
        } else {
            for (long i = newest + 1; i <= at; i++) {
                sums[slot(i)] = 0;
            }
        }
        newest = at;
    }

    private int slot(long at) {
        return (int) Math.floorMod(at, (long) sums.length);
    }
}
