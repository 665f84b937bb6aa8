package sagepulley.accounts;

import org.HdrHistogram.IntCountsHistogram;

/** The sums of one volume over one window of time. */
final class AccountWindow implements Mergeable<AccountWindow> {
    static final int MAX_CAUSES = 40;

    /**
     * Histogram values are ticks of 10 microseconds; one significant digit keeps errors below 7
     * percent.
     */
    static final double TICKS_PER_MILLI = 100;

    /** Longer durations are recorded as one hour. */
    static final long MAX_TICKS = 100L * 3_600_000;

    static final int TIERS = PlanTier.values().length;

    private static final int HISTOGRAM_DIGITS = 1;

    /** Milliseconds by latency component. */
    final double[] components = new double[LatencyComponent.values().length];

    final CauseCharges causes = new CauseCharges(MAX_CAUSES);
    long rejected;
    long abandoned;
    long cancelled;

    /** Operations within their latency objective. This and the next arrays are by plan tier. */
    final long[] met = new long[TIERS];

    final long[] missed = new long[TIERS];
    final double[] units = new double[TIERS];
    final double[] lostWeight = new double[TIERS];
    final IntCountsHistogram[] durations = new IntCountsHistogram[TIERS];

    /**
     * Adds an operation. Its lost weight is divided among its causes in proportion to their waits.
     */
    void add(EndedOperation operation) {
        int tier = operation.tier().ordinal();
        units[tier] += operation.timer().units;
        lostWeight[tier] += operation.lostWeight();
        if (operation.metObjective()) {
            met[tier]++;
        } else {
            missed[tier]++;
        }
        long ticks = (long) (operation.duration() * TICKS_PER_MILLI);
        durations(tier).recordValue(Math.min(MAX_TICKS, Math.max(0, ticks)));
        switch (operation.end()) {
            case REJECTED -> rejected++;
            case ABANDONED -> abandoned++;
            case CANCELLED -> cancelled++;
            case SERVED -> {}
        }
        OperationTimer timer = operation.timer();
        for (int i = 0; i < timer.stepCount(); i++) {
            components[timer.step(i).ordinal()] += timer.stepMillis(i);
        }
        causes.addAll(timer.charges, operation.lostWeight());
    }

    /** Returns the histogram of a tier and creates it if it is absent. */
    IntCountsHistogram durations(int tier) {
        if (durations[tier] == null) {
            durations[tier] = new IntCountsHistogram(HISTOGRAM_DIGITS);
            durations[tier].setAutoResize(true);
        }
        return durations[tier];
    }

    long operations() {
        long sum = 0;
        for (int i = 0; i < TIERS; i++) {
            sum += met[i] + missed[i];
        }
        return sum;
    }

    @Override
    public boolean isEmpty() {
        return operations() == 0 && causes.size() == 0;
    }

    @Override
    public void add(AccountWindow other) {
        for (int i = 0; i < components.length; i++) {
            components[i] += other.components[i];
        }
        causes.addAll(other.causes);
        rejected += other.rejected;
        abandoned += other.abandoned;
        cancelled += other.cancelled;
        for (int i = 0; i < TIERS; i++) {
            met[i] += other.met[i];
            missed[i] += other.missed[i];
            units[i] += other.units[i];
            lostWeight[i] += other.lostWeight[i];
            if (other.durations[i] != null) {
                durations(i).add(other.durations[i]);
            }
        }
    }
}
