package sagepulley.scheduler;

import sagepulley.model.Attempt;
import sagepulley.model.Node;

/**
 * Detects endpoints that serve worse than they should: unresponsive ones, which are ejected until
 * one of their probation requests is answered, and ones whose answers are faults. Times are
 * milliseconds.
 */
final class OutlierDetector {
    /** Without any answer for this part of the shortest objective an endpoint is unresponsive. */
    private static final double UNRESPONSIVE_FRACTION = 0.5;

    /** The part of the shortest objective between probation requests. */
    private static final double PROBATION_FRACTION = 0.3;

    /** Weight of one answer in the fault ratio. */
    private static final double FAULT_SMOOTHING = 0.2;

    /** What stays of the fault ratio at each refresh. */
    private static final double FAULT_DECAY = 0.9;

    /** The fault ratio above which an endpoint gets no new objects. */
    private static final double MAX_FAULT_RATIO = 0.3;

    private final double slowStartMillis;
    private final LatencyTracker latencies;
    private final WakeUpTime wakeUp;

    OutlierDetector(double slowStartMillis, LatencyTracker latencies, WakeUpTime wakeUp) {
        this.slowStartMillis = slowStartMillis;
        this.latencies = latencies;
        this.wakeUp = wakeUp;
    }

    /** Whether an endpoint serves as it should: ready, responsive, warm and without many faults. */
    boolean isHealthy(EndpointState endpoint, double now) {
        return endpoint.node.phase == Node.Phase.READY
                && !isUnresponsive(endpoint, now)
                && !endpoint.isInSlowStart(now, slowStartMillis)
                && endpoint.faultRatio <= MAX_FAULT_RATIO;
    }

    /** Whether an endpoint is ejected, or has work in flight and has given no answer for long. */
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

    /** Whether the next probation request may go to an unresponsive endpoint. */
    boolean isProbationDue(EndpointState endpoint, double now) {
        double dueAt = endpoint.lastSentAt + PROBATION_FRACTION * latencies.minObjective();
        if (now < dueAt) {
            wakeUp.noLaterThan(dueAt);
            return false;
        }
        return true;
    }

    /** Learns from the outcome of an attempt. */
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
            // An endpoint at capacity is up, but one that hangs rejects as well: only an answer
            // ends the ejection. A connection that breaks may be the only fault: if the endpoint
            // is down, the next one shows it.
            case NO_CONNECTION -> endpoint.ejected |= endpoint.lastResponseAt < attempt.sentAt;
            // An attempt that had little time left shows as little.
            case TIMED_OUT ->
                    endpoint.ejected |=
                            endpoint.lastResponseAt < attempt.sentAt
                                    && attempt.duration
                                            >= UNRESPONSIVE_FRACTION * latencies.minObjective();
            default -> {}
        }
    }

    /** Lets the fault ratio fade; called once a refresh period. */
    void refresh(EndpointState endpoint) {
        endpoint.faultRatio *= FAULT_DECAY;
    }
}
