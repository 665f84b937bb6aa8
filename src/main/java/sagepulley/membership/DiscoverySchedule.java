package sagepulley.membership;

import java.util.random.RandomGenerator;
import sagepulley.model.Deployment;

/**
 * Schedules the polls of discovery for the endpoint list, in deployments that have to poll: a first
 * poll, staggered across gateways, and a retry after each failure by exponential backoff with
 * jitter. Times are milliseconds on the monotonic clock. Owned by the scheduler's thread.
 */
public final class DiscoverySchedule {
    private static final double MIN_BACKOFF_MILLIS = 300;

    /**
     * Gives discovery time to work off its queue while many gateways retry. With the largest jitter
     * (1.5 times this) it stays below the notification span, so that refused polls keep renewing
     * the lease.
     */
    private static final double MAX_BACKOFF_MILLIS = 3_000;

    private static final double BACKOFF_FACTOR = 2;

    /** The jitter factor of a backoff is this plus a random number between 0 and 1. */
    private static final double MIN_JITTER_FACTOR = 0.5;

    /**
     * Minimum time after which a poll without a result is followed by another. A poll reports its
     * end within this time.
     */
    private static final double POLL_TIMEOUT_MILLIS = 2_500;

    /** Maximum time between the first polls of two consecutive gateways. */
    private static final double MAX_STAGGER_MILLIS = 250;

    /** The first polls of all gateways are spread over at most this part of the poll interval. */
    private static final double FIRST_POLL_SPREAD_FRACTION = 0.8;

    private static final double MAX_FIRST_POLL_SPREAD_MILLIS = 2_500;

    private final Deployment deployment;
    private final RandomGenerator random;
    private double nextAt = Double.POSITIVE_INFINITY;
    private double backoff = MIN_BACKOFF_MILLIS;
    private boolean hasPolled;

    /**
     * Creates a schedule in which no poll is due before {@link #started}, a failure or a change of
     * the address.
     */
    public DiscoverySchedule(Deployment deployment, RandomGenerator random) {
        this.deployment = deployment;
        this.random = random;
    }

    /**
     * Schedules the first poll if the deployment has to poll; called when the gateway has its first
     * endpoint list. The stagger by gateway index is bounded, so that the last of many gateways
     * polls before a change counts as notified.
     */
    public void started(double now) {
        if (deployment.mustPoll()) {
            double spread =
                    Math.min(
                            FIRST_POLL_SPREAD_FRACTION * deployment.pollInterval(),
                            MAX_FIRST_POLL_SPREAD_MILLIS);
            nextAt =
                    now
                            + deployment.gatewayIndex()
                                    * Math.min(
                                            MAX_STAGGER_MILLIS, spread / deployment.gatewayCount());
        }
    }

    /**
     * Records that a poll was answered or its watch is alive: resets the backoff and cancels the
     * next poll. Has no effect before the first poll.
     */
    public void pollSucceeded() {
        if (hasPolled) {
            backoff = MIN_BACKOFF_MILLIS;
            nextAt = Double.POSITIVE_INFINITY;
        }
    }

    /**
     * Records that a poll failed or the watch ended, and schedules a retry after the backoff if the
     * deployment has to poll.
     */
    public void pollFailed(double now) {
        if (deployment.mustPoll()) {
            nextAt = now + backoff * (MIN_JITTER_FACTOR + random.nextDouble());
            backoff = Math.min(backoff * BACKOFF_FACTOR, MAX_BACKOFF_MILLIS);
        }
    }

    /**
     * Records that discovery has a new address, resets the backoff and schedules a poll there
     * within the minimum backoff.
     */
    public void addressChanged(double now) {
        backoff = MIN_BACKOFF_MILLIS;
        nextAt = now + random.nextDouble() * MIN_BACKOFF_MILLIS;
    }

    /**
     * Returns whether a poll is due. If it is, it counts as sent, and the next one is scheduled in
     * case it has no result.
     */
    public boolean takeDue(double now) {
        if (nextAt > now) {
            return false;
        }
        hasPolled = true;
        nextAt = now + Math.max(deployment.pollInterval() / 2, POLL_TIMEOUT_MILLIS);
        return true;
    }

    /** Returns the time at which the next poll is due; infinite if none is scheduled. */
    public double nextAt() {
        return nextAt;
    }
}
