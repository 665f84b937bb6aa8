package sagepulley.membership;

import java.util.random.RandomGenerator;

/**
 * When to ask a directory again that did not answer: each pause is drawn between a least and three
 * times the one before, up to a longest, so that many gateways that lost it together do not come
 * back together. Milliseconds.
 */
public final class ReconnectBackoff {
    private final double least;
    private final double longest;
    private final RandomGenerator random;
    private double pause;

    public ReconnectBackoff(double least, double longest, RandomGenerator random) {
        this.least = least;
        this.longest = longest;
        this.random = random;
        this.pause = least;
    }

    /** The pause before the next try. */
    public double nextDelayMillis() {
        pause = Math.min(longest, least + random.nextDouble() * Math.max(0, 3 * pause - least));
        return pause;
    }

    /** It answered. */
    public void reset() {
        pause = least;
    }
}
