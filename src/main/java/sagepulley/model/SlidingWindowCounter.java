package sagepulley.model;

import java.util.Arrays;

/** Sums amounts over a sliding time window, in a ring of buckets. Times are milliseconds. */
public final class SlidingWindowCounter {
    private final double bucketMillis;
    private final double[] sums;
    private long newestBucket = Long.MIN_VALUE;

    /**
     * Creates a counter whose window is divided into the given number of buckets. One more bucket
     * is kept, as the newest is only partly filled.
     */
    public SlidingWindowCounter(double windowMillis, int buckets) {
        this.bucketMillis = windowMillis / buckets;
        this.sums = new double[buckets + 1];
    }

    /** Adds an amount at the given time. */
    public void add(double now, double amount) {
        advance(now);
        sums[slot(newestBucket)] += amount;
    }

    /** Returns the sum over the window and up to one bucket more. */
    public double sumOverestimate(double now) {
        advance(now);
        double sum = 0;
        for (double bucketSum : sums) {
            sum += bucketSum;
        }
        return sum;
    }

    /**
     * Returns the sum over the window less up to one bucket; includes nothing older than the
     * window.
     */
    public double sumUnderestimate(double now) {
        return sumOverestimate(now) - sums[slot(newestBucket + 1)];
    }

    private void advance(double now) {
        long bucket = (long) Math.floor(now / bucketMillis);
        if (bucket <= newestBucket) {
            return;
        }
        if (newestBucket == Long.MIN_VALUE || bucket - newestBucket >= sums.length) {
            Arrays.fill(sums, 0);
        } else {
            for (long i = newestBucket + 1; i <= bucket; i++) {
                sums[slot(i)] = 0;
            }
        }
        newestBucket = bucket;
    }

    private int slot(long bucket) {
        return (int) Math.floorMod(bucket, (long) sums.length);
    }
}
