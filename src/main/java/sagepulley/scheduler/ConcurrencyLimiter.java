package sagepulley.scheduler;

import sagepulley.model.Attempt;
import sagepulley.model.Node;

/**
 * The number of attempts that may be in flight at each endpoint. The limit moves by additive
 * increase and multiplicative decrease, on the queueing delay that answers show. Times are
 * milliseconds.
 */
final class ConcurrencyLimiter {
    /** The limit of an endpoint that was never sent to. */
    static final double INITIAL_LIMIT = 4;

    private static final double MIN_LIMIT = 1;
    private static final double MAX_LIMIT = 8;

    /**
     * How far the rest of a run may exceed the limit: an endpoint caches an extent only briefly.
     */
    private static final int MAX_RUN_EXCESS = 3;

    private static final double DECREASE_FACTOR = 0.7;

    /** Added for each limit's worth of answers without a queue. */
    private static final double INCREASE_STEP = 0.25;

    /**
     * Added at each refresh to a limit that was not reduced lately and is below the initial one.
     */
    private static final double RECOVERY_STEP = 1;

    private final LatencyTracker latencies;
    private final OutlierDetector outliers;

    ConcurrencyLimiter(LatencyTracker latencies, OutlierDetector outliers) {
        this.latencies = latencies;
        this.outliers = outliers;
    }

    /** Whether one more attempt may be in flight at an endpoint. */
    boolean hasCapacity(EndpointState endpoint, double now) {
        if (endpoint.node.phase != Node.Phase.READY) {
            return false;
        }
        if (outliers.isUnresponsive(endpoint, now)) {
            return outliers.isProbationDue(endpoint, now) && endpoint.inFlight.size() < MAX_LIMIT;
        }
        boolean inRun = endpoint.runRemaining > 0 && endpoint.lastSentAt == now;
        int excess = inRun ? MAX_RUN_EXCESS : 0;
        return endpoint.inFlight.size() < (int) endpoint.concurrencyLimit + excess;
    }

    /** Whether the limit itself, without a run's excess, has room. */
    boolean isBelowLimit(EndpointState endpoint) {
        return endpoint.inFlight.size() < (int) endpoint.concurrencyLimit;
    }

    /** An endpoint that has started anew begins at the least limit. */
    void onRestart(EndpointState endpoint) {
        endpoint.concurrencyLimit = MIN_LIMIT;
    }

    /** A served attempt shows by its queueing delay whether the limit is too high or too low. */
    void onServed(Attempt attempt, EndpointState endpoint, double queueingDelay, double now) {
        if (queueingDelay > latencies.acceptableQueueingDelay()) {
            reduce(attempt, endpoint, now);
        } else if (endpoint.concurrencyLimit < MAX_LIMIT) {
            endpoint.concurrencyLimit =
                    Math.min(
                            MAX_LIMIT,
                            endpoint.concurrencyLimit + INCREASE_STEP / endpoint.concurrencyLimit);
        }
    }

    /** Reduces the limit, once for all attempts that were sent before the latest reduction. */
    void reduce(Attempt attempt, EndpointState endpoint, double now) {
        if (attempt.sentAt >= endpoint.limitReducedAt) {
            endpoint.concurrencyLimit =
                    Math.max(MIN_LIMIT, endpoint.concurrencyLimit * DECREASE_FACTOR);
            endpoint.limitReducedAt = now;
        }
    }

    /** Raises a low limit that was not reduced within the refresh period. */
    void refresh(EndpointState endpoint, double now, double periodMillis) {
        if (now - endpoint.limitReducedAt > periodMillis
                && endpoint.concurrencyLimit < INITIAL_LIMIT) {
            endpoint.concurrencyLimit =
                    Math.min(INITIAL_LIMIT, endpoint.concurrencyLimit + RECOVERY_STEP);
        }
    }
}
