package sagepulley.membership;

import java.util.random.RandomGenerator;

/**
 * Computes the delays between attempts to reconnect to a directory. Each delay is random between a
 * minimum and three times the previous one, up to a maximum ("decorrelated jitter"), so that
 * gateways that lost the directory together do not reconnect together. Delays are milliseconds. Not
 * thread-safe.
 */
public final class ReconnectBackoff {
    private static final double MAX_GROWTH = 3;

    private final double minDelayMillis;
    private final double maxDelayMillis;
    private final RandomGenerator random;
    private double delay;

    /** Creates a backoff whose first delay is between the minimum and three times the minimum. */
    public ReconnectBackoff(double minDelayMillis, double maxDelayMillis, RandomGenerator random) {
        this.minDelayMillis = minDelayMillis;
        this.maxDelayMillis = maxDelayMillis;
        this.random = random;
        this.delay = minDelayMillis;
    }

    /** Returns the delay before the next attempt, in milliseconds. */
    public double nextDelayMillis() {
        double range = Math.max(0, MAX_GROWTH * delay - minDelayMillis);
        delay = Math.min(maxDelayMillis, minDelayMillis + random.nextDouble() * range);
        return delay;
    }

    /** Resets the backoff after the directory answered. */
    public void reset() {
        delay = minDelayMillis;
    }
}
