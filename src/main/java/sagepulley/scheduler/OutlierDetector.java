package sagepulley.scheduler;

import sagepulley.model.Attempt;
import sagepulley.model.Node;

/**
 * Detects endpoints that are unresponsive or respond with too many faults. An ejected endpoint gets
 * only probation requests until one of its attempts is served. Times are milliseconds.
 */
final class OutlierDetector {
    /**
     * The time without a response after which an endpoint is unresponsive, as a fraction of the
     * shortest objective.
     */
    private static final double UNRESPONSIVE_FRACTION = 0.5;

    /** The time between probation requests, as a fraction of the shortest objective. */
    private static final double PROBATION_FRACTION = 0.3;

    /** The weight of one response in the fault ratio. */
    private static final double FAULT_SMOOTHING = 0.2;

    /** The factor applied to the fault ratio at each refresh. */
    private static final double FAULT_DECAY = 0.9;

    /** The fault ratio above which an endpoint is unhealthy and gets no new objects. */
    private static final double MAX_FAULT_RATIO = 0.3;

    private final double slowStartMillis;
    private final LatencyTracker latencies;
    private final WakeUpTime wakeUp;

    OutlierDetector(double slowStartMillis, LatencyTracker latencies, WakeUpTime wakeUp) {
        this.slowStartMillis = slowStartMillis;
        this.latencies = latencies;
        this.wakeUp = wakeUp;
    }

    /**
     * Returns whether an endpoint is ready, responsive, past its slow start and without many
     * faults.
     */
    boolean isHealthy(EndpointState endpoint, double now) {
        return endpoint.node.phase == Node.Phase.READY
                && !isUnresponsive(endpoint, now)
                && !endpoint.isInSlowStart(now, slowStartMillis)
                && endpoint.faultRatio <= MAX_FAULT_RATIO;
    }

    /**
     * Returns whether an endpoint is ejected, or has attempts in flight and has not responded for
     * too long. If it is responsive with attempts in flight, requests a wake-up for when that time
     * is over.
     */
    boolean isUnresponsive(EndpointState endpoint, double now) {
        if (endpoint.ejected) {
            return true;
        }
        if (endpoint.inFlight.isEmpty()) {
            return false;
        }
        double waitingSince = Math.max(endpoint.inFlight.get(0).sentAt, endpoint.lastResponseAt);
        double maxWait = latencies.minObjective() * UNRESPONSIVE_FRACTION;
        if (now - waitingSince > maxWait) {
            return true;
        }
        wakeUp.noLaterThan(waitingSince + maxWait);
        return false;
    }

    /**
     * Returns whether the next probation request may go to an unresponsive endpoint; if not,
     * requests a wake-up for when it may.
     */
    boolean isProbationDue(EndpointState endpoint, double now) {
        double dueAt = endpoint.lastSentAt + PROBATION_FRACTION * latencies.minObjective();
        if (now < dueAt) {
            wakeUp.noLaterThan(dueAt);
            return false;
        }
        return true;
    }

    /** Updates the endpoint's state from the outcome of an attempt. */
    void onAttemptEnded(Attempt attempt, EndpointState endpoint, double now) {
        switch (attempt.outcome) {
            case SERVED -> {
                endpoint.lastResponseAt = now;
                endpoint.ejected = false;
                endpoint.faultRatio -= FAULT_SMOOTHING * endpoint.faultRatio;
            }
            case FAILED -> {
                endpoint.lastResponseAt = now;
                endpoint.faultRatio += FAULT_SMOOTHING * (1 - endpoint.faultRatio);
            }
            // REJECTED changes nothing: an endpoint that hangs may reject as well, and only a
            // served attempt ends an ejection. RESET changes nothing either: only the connection
            // may be at fault, and if the endpoint is down, the next attempt gets no connection.
            case NO_CONNECTION -> endpoint.ejected |= endpoint.lastResponseAt < attempt.sentAt;
            // The timeout of an attempt with little time left does not show that the endpoint is
            // unresponsive.
            case TIMED_OUT ->
                    endpoint.ejected |=
                            endpoint.lastResponseAt < attempt.sentAt
                                    && attempt.duration
                                            >= UNRESPONSIVE_FRACTION * latencies.minObjective();
            default -> {}
        }
    }

    /** Decays the fault ratio; called once per refresh period. */
    void refresh(EndpointState endpoint) {
        endpoint.faultRatio *= FAULT_DECAY;
    }
}
