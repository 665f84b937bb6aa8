package sagepulley.tracing;

import java.util.Arrays;
import java.util.random.RandomGenerator;
import sagepulley.accounts.Accounts;
import sagepulley.model.ExternalName;

/**
 * Decides after an operation's end whether its trace is kept: what was scrapped, declined, missed
 * its target time or is among the slowest of its band, and of the others some by chance, all within
 * a budget a second. Each kind has a part of the budget of its own, and what one leaves others may
 * use. Where a kind has more than its part, a share of it is kept by chance, evenly over the
 * second, and each kept one says for how many it stands. No clock: times are milliseconds handed
 * in.
 */
public final class TailSampler {
    /** Why an operation's trace is kept. */
    public enum SampleReason implements ExternalName {
        ABANDONED("scrapped"),
        REJECTED("declined"),
        MISSED("missed"),
        SLOWEST("slowest"),
        RANDOM("chance");

        private final String externalName;

        SampleReason(String externalName) {
            this.externalName = externalName;
        }

        @Override
        public String externalName() {
            return externalName;
        }
    }

    private static final double[] PARTS = {0.2, 0.2, 0.3, 0.2, 0.1};
    private static final double RATE_WINDOW = 2_000;
    private static final double FILL_EVERY = 5;
    private static final double SLOW_SHARE = 0.005;
    private static final double SLOW_STEP = 0.05;
    private static final int SLOW_KNOWN = 200;

    private final double perSecond;
    private final double chance;
    private final RandomGenerator random;
    private final double[] tokens = new double[PARTS.length];
    private final double[] counts = new double[PARTS.length];
    private double spare;
    private double at;

    /** By band: the time that few exceed, and how many have been seen. */
    private double[] slow = new double[0];

    private int[] seen = new int[0];
    private SampleReason reason;
    private long overBudget;

    /** At most so many a second; an ordinary one with this chance (0 to 1). */
    public TailSampler(double perSecond, double chance, RandomGenerator random) {
        this.perSecond = perSecond;
        this.chance = chance;
        this.random = random;
        for (int i = 0; i < PARTS.length; i++) {
            tokens[i] = capacity(i);
        }
    }

    private double capacity(int kind) {
        return Math.max(1, PARTS[kind] * perSecond);
    }

    /** For how many operations this one's trace is kept to stand; 0 if it is not kept. */
    public double sample(Accounts.End end, boolean missed, int band, double took, double now) {
        fill(now);
        boolean slowest = slowest(band, took);
        reason =
                switch (end) {
                    case ABANDONED -> SampleReason.ABANDONED;
                    case REJECTED -> SampleReason.REJECTED;
                    case SERVED, CANCELLED ->
                            missed
                                    ? SampleReason.MISSED
                                    : slowest ? SampleReason.SLOWEST : SampleReason.RANDOM;
                };
        int kind = reason.ordinal();
        counts[kind]++;
        double rate = counts[kind] * 1000 / RATE_WINDOW;
        double wanted = reason == SampleReason.RANDOM ? chance : 1;
        double bears = (PARTS[kind] * perSecond + spare) / Math.max(1e-9, rate);
        double part = Math.min(wanted, bears);
        if (part < 1 && random.nextDouble() >= part) {
            return 0;
        }
        if (tokens[kind] >= 1) {
            tokens[kind]--;
        } else if (spare >= 1) {
            spare--;
        } else {
            overBudget++;
            return 0;
        }
        return 1 / part;
    }

    /** Why the latest was kept, or would have been. */
    public SampleReason reason() {
        return reason;
    }

    /**
     * How many were wanted and not kept since the start, because the budget was spent at that
     * moment.
     */
    public long overBudget() {
        return overBudget;
    }

    private void fill(double now) {
        double passed = Math.max(0, now - at);
        if (passed < FILL_EVERY) {
            return;
        }
        at = now;
        double left = Math.exp(-passed / RATE_WINDOW);
        for (int i = 0; i < PARTS.length; i++) {
            counts[i] *= left;
            double filled = tokens[i] + PARTS[i] * perSecond * passed / 1000;
            tokens[i] = Math.min(capacity(i), filled);
            spare += filled - tokens[i];
        }
        spare = Math.min(spare, perSecond);
    }

    /** Follows the time that only a small share of a band's operations exceed. */
    private boolean slowest(int band, double took) {
        if (band >= slow.length) {
            slow = Arrays.copyOf(slow, band + 1);
            seen = Arrays.copyOf(seen, band + 1);
        }
        boolean over = took > slow[band];
        slow[band] += (SLOW_STEP * slow[band] + 0.01) * (over ? 1 - SLOW_SHARE : -SLOW_SHARE);
        if (seen[band] < SLOW_KNOWN) {
            seen[band]++;
            slow[band] = Math.max(slow[band], took);
            return false;
        }
        return over;
    }
}
