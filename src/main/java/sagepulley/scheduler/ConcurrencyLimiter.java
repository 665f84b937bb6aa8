package sagepulley.scheduler;

import sagepulley.model.Attempt;
import sagepulley.model.Node;

/**
 * Limits the number of attempts in flight at each endpoint. The limit follows additive increase and
 * multiplicative decrease (AIMD), driven by the queueing delay of responses. Times are
 * milliseconds.
 */
final class ConcurrencyLimiter {
    /** The limit of an endpoint to which nothing was sent yet. */
    static final double INITIAL_LIMIT = 4;

    private static final double MIN_LIMIT = 1;
    private static final double MAX_LIMIT = 8;

    /**
     * The number of attempts by which a run of operations on one extent may exceed the limit. The
     * endpoint caches the extent only briefly.
     */
    private static final int MAX_RUN_EXCESS = 3;

    private static final double DECREASE_FACTOR = 0.7;

    /** The increase after as many responses without a long queue as the limit allows in flight. */
    private static final double INCREASE_STEP = 0.25;

    /**
     * The increase at each refresh of a limit that is below the initial one and was not reduced
     * recently.
     */
    private static final double RECOVERY_STEP = 1;

    private final LatencyTracker latencies;
    private final OutlierDetector outliers;

    ConcurrencyLimiter(LatencyTracker latencies, OutlierDetector outliers) {
        this.latencies = latencies;
        this.outliers = outliers;
    }

    /**
     * Returns whether one more attempt may be in flight at an endpoint. An unresponsive endpoint
     * only takes probation requests. A run of operations on one extent that are sent at the same
     * time may exceed the limit.
     */
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

    /** Returns whether the endpoint is below its limit, without the excess for a run. */
    boolean isBelowLimit(EndpointState endpoint) {
        return endpoint.inFlight.size() < (int) endpoint.concurrencyLimit;
    }

    /** Resets the limit of a restarted endpoint to the minimum. */
    void onRestart(EndpointState endpoint) {
        endpoint.concurrencyLimit = MIN_LIMIT;
    }

    /** Reduces the limit if a served attempt was queued for too long, and raises it otherwise. */
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

    /** Reduces the limit, at most once for all attempts sent before the latest reduction. */
    void reduce(Attempt attempt, EndpointState endpoint, double now) {
        if (attempt.sentAt >= endpoint.limitReducedAt) {
            endpoint.concurrencyLimit =
                    Math.max(MIN_LIMIT, endpoint.concurrencyLimit * DECREASE_FACTOR);
            endpoint.limitReducedAt = now;
        }
    }

    /** Raises a limit below the initial one that was not reduced within the refresh period. */
    void refresh(EndpointState endpoint, double now, double periodMillis) {
        if (now - endpoint.limitReducedAt > periodMillis
                && endpoint.concurrencyLimit < INITIAL_LIMIT) {
            endpoint.concurrencyLimit =
                    Math.min(INITIAL_LIMIT, endpoint.concurrencyLimit + RECOVERY_STEP);
        }
    }
}
