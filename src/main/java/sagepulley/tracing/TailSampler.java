package sagepulley.tracing;

import java.util.Arrays;
import java.util.random.RandomGenerator;
import sagepulley.accounts.Accounts;
import sagepulley.model.ExternalName;

/**
 * Decides after an operation's end whether its trace is kept: those that were abandoned, rejected,
 * missed their latency objective or are among the slowest of their traffic class, and of the others
 * some at random, all within a budget (docs/accounts.md). Each reason has a part of the budget, and
 * what one leaves others may use. Where there are more than its part allows, a random sample is
 * kept, evenly over time, and each one has the weight of those it stands for. No clock: times are
 * milliseconds handed in. For one thread.
 */
public final class TailSampler {
    /** Why an operation's trace is kept. */
    public enum SampleReason implements ExternalName {
        /** It may have been executed or not. */
        ABANDONED("scrapped", 0.2),
        /** It was rejected before execution. */
        REJECTED("declined", 0.2),
        /** It was not served within its latency objective. */
        MISSED("missed", 0.3),
        /** It is among the slowest of its traffic class. */
        SLOWEST("slowest", 0.2),
        /** It is an ordinary one. */
        RANDOM("chance", 0.1);

        private final String externalName;
        private final double budgetShare;

        SampleReason(String externalName, double budgetShare) {
            this.externalName = externalName;
            this.budgetShare = budgetShare;
        }

        @Override
        public String externalName() {
            return externalName;
        }
    }

    private static final SampleReason[] REASONS = SampleReason.values();

    /** Time constant of the decay with which the rate of candidates is measured. */
    private static final double RATE_WINDOW_MILLIS = 2_000;

    private static final double MIN_REFILL_MILLIS = 5;

    /** The slowest are those beyond the quantile that this fraction exceeds. */
    private static final double SLOW_FRACTION = 0.005;

    /** A step of the quantile's estimate: a part of it, and a constant that gets it off zero. */
    private static final double QUANTILE_STEP = 0.05;

    private static final double MIN_QUANTILE_STEP_MILLIS = 0.01;

    /** With fewer operations of a traffic class its quantile is the maximum so far. */
    private static final int MIN_QUANTILE_SAMPLES = 200;

    private static final double MIN_RATE = 1e-9;

    private final double maxTracesPerSecond;
    private final double sampleProbability;
    private final RandomGenerator random;

    /** By reason: traces that may be kept now, and candidates within the rate window. */
    private final double[] tokens = new double[REASONS.length];

    private final double[] candidateCounts = new double[REASONS.length];

    /** Tokens that no reason had room for. */
    private double sharedTokens;

    private double refilledAt;

    /** By traffic class: the quantile of durations, and how many of them were seen. */
    private double[] slowQuantile = new double[0];

    private int[] sampleCounts = new int[0];
    private SampleReason reason;
    private long droppedOverBudget;

    /**
     * A sampler with a full budget.
     *
     * @param sampleProbability of an ordinary operation, 0 to 1
     */
    public TailSampler(
            double maxTracesPerSecond, double sampleProbability, RandomGenerator random) {
        this.maxTracesPerSecond = maxTracesPerSecond;
        this.sampleProbability = sampleProbability;
        this.random = random;
        for (SampleReason each : REASONS) {
            tokens[each.ordinal()] = capacity(each);
        }
    }

    private double capacity(SampleReason sampleReason) {
        return Math.max(1, sampleReason.budgetShare * maxTracesPerSecond);
    }

    /**
     * Decides on an operation.
     *
     * @param missed whether it was not served within its latency objective
     * @param trafficClass its index
     * @param duration milliseconds
     * @return the weight of its trace, for how many operations it stands; 0 if it is not kept
     */
    public double sample(
            Accounts.End end, boolean missed, int trafficClass, double duration, double now) {
        refill(now);
        reason = reason(end, missed, isAmongSlowest(trafficClass, duration));
        int index = reason.ordinal();
        candidateCounts[index]++;
        double rate = candidateCounts[index] * 1000 / RATE_WINDOW_MILLIS;
        double targetProbability = reason == SampleReason.RANDOM ? sampleProbability : 1;
        double budgetProbability =
                (reason.budgetShare * maxTracesPerSecond + sharedTokens) / Math.max(MIN_RATE, rate);
        double probability = Math.min(targetProbability, budgetProbability);
        if (probability < 1 && random.nextDouble() >= probability) {
            return 0;
        }
        if (!takeToken(index)) {
            droppedOverBudget++;
            return 0;
        }
        return 1 / probability;
    }

    private static SampleReason reason(Accounts.End end, boolean missed, boolean isAmongSlowest) {
        return switch (end) {
            case ABANDONED -> SampleReason.ABANDONED;
            case REJECTED -> SampleReason.REJECTED;
            case SERVED, CANCELLED -> {
                if (missed) {
                    yield SampleReason.MISSED;
                }
                yield isAmongSlowest ? SampleReason.SLOWEST : SampleReason.RANDOM;
            }
        };
    }

    private boolean takeToken(int index) {
        if (tokens[index] >= 1) {
            tokens[index]--;
            return true;
        }
        if (sharedTokens >= 1) {
            sharedTokens--;
            return true;
        }
        return false;
    }

    /** Why the latest was kept, or would have been. */
    public SampleReason reason() {
        return reason;
    }

    /**
     * How many were chosen and not kept since the start, because the budget was spent at that
     * moment.
     */
    public long droppedOverBudget() {
        return droppedOverBudget;
    }

    private void refill(double now) {
        double elapsed = Math.max(0, now - refilledAt);
        if (elapsed < MIN_REFILL_MILLIS) {
            return;
        }
        refilledAt = now;
        double decay = Math.exp(-elapsed / RATE_WINDOW_MILLIS);
        for (SampleReason each : REASONS) {
            int index = each.ordinal();
            candidateCounts[index] *= decay;
            double refilled =
                    tokens[index] + each.budgetShare * maxTracesPerSecond * elapsed / 1000;
            tokens[index] = Math.min(capacity(each), refilled);
            sharedTokens += refilled - tokens[index];
        }
        sharedTokens = Math.min(sharedTokens, maxTracesPerSecond);
    }

    /** Follows the duration that only a small fraction of a traffic class exceeds. */
    private boolean isAmongSlowest(int trafficClass, double duration) {
        if (trafficClass >= slowQuantile.length) {
            slowQuantile = Arrays.copyOf(slowQuantile, trafficClass + 1);
            sampleCounts = Arrays.copyOf(sampleCounts, trafficClass + 1);
        }
        double quantile = slowQuantile[trafficClass];
        boolean exceeds = duration > quantile;
        double step = QUANTILE_STEP * quantile + MIN_QUANTILE_STEP_MILLIS;
        quantile += step * (exceeds ? 1 - SLOW_FRACTION : -SLOW_FRACTION);
        if (sampleCounts[trafficClass] < MIN_QUANTILE_SAMPLES) {
            sampleCounts[trafficClass]++;
            slowQuantile[trafficClass] = Math.max(quantile, duration);
            return false;
        }
        slowQuantile[trafficClass] = quantile;
        return exceeds;
    }
}
