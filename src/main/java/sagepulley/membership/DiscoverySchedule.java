package sagepulley.membership;

import java.util.random.RandomGenerator;
import sagepulley.model.Deployment;

/**
 * When discovery is polled for the endpoint list, where it has to be polled: once at the start,
 * staggered over the gateways, and again after each failure, by an exponential backoff with jitter.
 * Times are milliseconds on the monotonic clock. Owned by the scheduler's thread.
 */
public final class DiscoverySchedule {
    private static final double MIN_BACKOFF_MILLIS = 300;

    /**
     * Long enough that discovery gets to the end of a queue of polls that many gateways repeat. One
     * and a half times as much has to stay under the time in which a change counts as notified, for
     * a rejected poll renews the lease.
     */
    private static final double MAX_BACKOFF_MILLIS = 3_000;

    private static final double BACKOFF_FACTOR = 2;

    /** The jitter scales a backoff by this plus a random number between 0 and 1. */
    private static final double MIN_JITTER_FACTOR = 0.5;

    /** A poll reports its end within this time; one that does not is followed by another. */
    private static final double POLL_TIMEOUT_MILLIS = 2_500;

    private static final double MAX_STAGGER_MILLIS = 250;

    /** First polls: all gateways' within this part of the poll interval, and soon. */
    private static final double FIRST_POLL_SPREAD_FRACTION = 0.8;

    private static final double MAX_FIRST_POLL_SPREAD_MILLIS = 2_500;

    private final Deployment deployment;
    private final RandomGenerator random;
    private double nextAt = Double.POSITIVE_INFINITY;
    private double backoff = MIN_BACKOFF_MILLIS;
    private boolean hasPolled;

    /** Polls nothing before {@link #started} or a failure. */
    public DiscoverySchedule(Deployment deployment, RandomGenerator random) {
        this.deployment = deployment;
        this.random = random;
    }

    /**
     * The process has started; the last of many gateways must still have polled before a change
     * counts as notified.
     */
    public void started(double now) {
        if (deployment.mustPoll()) {
            double spread =
                    Math.min(FIRST_POLL_SPREAD_FRACTION * deployment.pollInterval(), MAX_FIRST_POLL_SPREAD_MILLIS);
            nextAt =
                    now
                            + deployment.gatewayIndex()
                                    * Math.min(
                                            MAX_STAGGER_MILLIS, spread / deployment.gatewayCount());
        }
    }

    /** A poll was answered, or its watch is still alive. */
    public void pollSucceeded() {
        if (hasPolled) {
            backoff = MIN_BACKOFF_MILLIS;
            nextAt = Double.POSITIVE_INFINITY;
        }
    }

    /** A poll failed, or the watch ended. */
    public void pollFailed(double now) {
        if (deployment.mustPoll()) {
            nextAt = now + backoff * (MIN_JITTER_FACTOR + random.nextDouble());
            backoff = Math.min(backoff * BACKOFF_FACTOR, MAX_BACKOFF_MILLIS);
        }
    }

    /** Discovery has another address from now on, which has not been polled yet. */
    public void addressChanged(double now) {
        backoff = MIN_BACKOFF_MILLIS;
        nextAt = now + random.nextDouble() * MIN_BACKOFF_MILLIS;
    }

    /** Whether a poll is due; if so it counts as made. */
    public boolean takeDue(double now) {
        if (nextAt > now) {
            return false;
        }
        hasPolled = true;
        nextAt = now + Math.max(deployment.pollInterval() / 2, POLL_TIMEOUT_MILLIS);
        return true;
    }

    /** When the next poll is due; infinite if none is. */
    public double nextAt() {
        return nextAt;
    }
}
