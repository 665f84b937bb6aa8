package sagepulley.membership;

import java.util.random.RandomGenerator;

/**
 * When to connect again to a directory that did not answer: each delay is random, between a minimum
 * and three times the one before, up to a maximum ("decorrelated jitter"), so that many gateways
 * that lost it together do not come back together. Milliseconds. For one thread.
 */
public final class ReconnectBackoff {
    private static final double MAX_GROWTH = 3;

    private final double minDelayMillis;
    private final double maxDelayMillis;
    private final RandomGenerator random;
    private double delay;

    /** Begins with the minimum. */
    public ReconnectBackoff(double minDelayMillis, double maxDelayMillis, RandomGenerator random) {
        this.minDelayMillis = minDelayMillis;
        this.maxDelayMillis = maxDelayMillis;
        this.random = random;
        this.delay = minDelayMillis;
    }

    /** The delay before the next attempt, in milliseconds. */
    public double nextDelayMillis() {
        double range = Math.max(0, MAX_GROWTH * delay - minDelayMillis);
        delay = Math.min(maxDelayMillis, minDelayMillis + random.nextDouble() * range);
        return delay;
    }

    /** The directory answered: the next failure begins with the minimum again. */
    public void reset() {
        delay = minDelayMillis;
    }
}
