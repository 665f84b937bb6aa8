package sagepulley.tracing;

import java.util.Arrays;
import java.util.random.RandomGenerator;
import sagepulley.accounts.Accounts;
import sagepulley.model.ExternalName;

/**
 * Decides after an operation's end whether its trace is kept. Keeps operations that were abandoned,
 * rejected, missed their latency objective or are among the slowest of their traffic class, and a
 * random sample of the others (docs/accounts.md).
 *
 * <p>A token bucket per reason enforces the budget; tokens that a full bucket cannot take go to a
 * bucket shared by all reasons. When a reason has more candidates than its budget allows, they are
 * sampled at random, and each kept trace carries the inverse of the sampling probability as its
 * weight. Times are passed in as milliseconds. Not thread-safe.
 */
public final class TailSampler {
    /** The reasons for keeping an operation's trace. */
    public enum SampleReason implements ExternalName {
        /** The operation may or may not have been executed. */
        ABANDONED("scrapped", 0.2),
        /** The operation was rejected before execution. */
        REJECTED("declined", 0.2),
        /** The operation was not served within its latency objective. */
        MISSED("missed", 0.3),
        /** The operation is among the slowest of its traffic class. */
        SLOWEST("slowest", 0.2),
        /** The operation was picked at random from the remaining ones. */
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

    /** Time constant of the exponential decay of the candidate counts. */
    private static final double RATE_WINDOW_MILLIS = 2_000;

    private static final double MIN_REFILL_MILLIS = 5;

    /** Fraction of a traffic class's operations that counts as the slowest. */
    private static final double SLOW_FRACTION = 0.005;

    /** Relative step of the quantile estimate. */
    private static final double QUANTILE_STEP = 0.05;

    /** Absolute step that moves the estimate away from zero. */
    private static final double MIN_QUANTILE_STEP_MILLIS = 0.01;

    /**
     * Until a traffic class has this many samples, its estimate is at least the latest duration and
     * no operation counts as slow.
     */
    private static final int MIN_QUANTILE_SAMPLES = 200;

    private static final double MIN_RATE = 1e-9;

    private final double maxTracesPerSecond;
    private final double sampleProbability;
    private final RandomGenerator random;

    /** Traces that may be kept now, by reason. */
    private final double[] tokens = new double[REASONS.length];

    /** Exponentially decayed number of candidates, by reason. */
    private final double[] candidateCounts = new double[REASONS.length];

    /** Tokens that overflowed the buckets of the reasons. */
    private double sharedTokens;

    private double refilledAt;

    /** Estimated quantile of durations in milliseconds, by traffic class. */
    private double[] slowQuantile = new double[0];

    /** Number of durations seen, by traffic class; stops at {@link #MIN_QUANTILE_SAMPLES}. */
    private int[] sampleCounts = new int[0];

    private SampleReason reason;
    private long droppedOverBudget;

    /**
     * Creates a sampler with a full budget.
     *
     * @param sampleProbability probability of keeping an operation that no other reason selects
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
     * Decides whether the trace of an ended operation is kept.
     *
     * @param missed whether the operation was not served within its latency objective
     * @param trafficClass index of the traffic class
     * @param duration duration of the operation in milliseconds
     * @return the number of operations that the trace represents; 0 if it is not kept
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

    /** Returns the reason determined by the latest call of {@link #sample}, kept or not. */
    public SampleReason reason() {
        return reason;
    }

    /** Returns the number of selected traces dropped since the start because no token was left. */
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

    /**
     * Returns whether a duration exceeds the estimated quantile of its traffic class, and updates
     * the estimate.
     */
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
