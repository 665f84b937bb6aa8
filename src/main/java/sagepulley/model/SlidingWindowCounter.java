package sagepulley.model;

import java.util.Arrays;

/** A sum over a sliding window of time, in a ring of buckets. Times are milliseconds. */
public final class SlidingWindowCounter {
    private final double bucketMillis;
    private final double[] sums;
    private long newest = Long.MIN_VALUE;

    /**
     * A counter over a window that divides into so many buckets; one more is kept for the bucket
     * that is being filled.
     */
    public SlidingWindowCounter(double window, int buckets) {
        this.bucketMillis = window / buckets;
        this.sums = new double[buckets + 1];
    }

    /** Adds an amount at a time. */
    public void add(double now, double amount) {
        advance(now);
        sums[slot(newest)] += amount;
    }

    /** The sum of the window and of up to one bucket more. */
    public double sumOverestimate(double now) {
        advance(now);
        double sum = 0;
        for (double part : sums) {
            sum += part;
        }
        return sum;
    }

    /** The sum of the window less up to one bucket: nothing older than the window. */
    public double sumUnderestimate(double now) {
        return sumOverestimate(now) - sums[slot(newest + 1)];
    }

    private void advance(double now) {
        long at = (long) Math.floor(now / bucketMillis);
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
