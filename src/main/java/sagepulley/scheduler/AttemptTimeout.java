package sagepulley.scheduler;

import sagepulley.model.Operation;
import sagepulley.model.TrafficClass;

/**
 * Computes the timeout of an attempt. An attempt normally ends with the latency objective: one
 * without a response, because its endpoint hangs or is unreachable, must not occupy the concurrency
 * limit until the client's deadline, and late work delays the operations of other gateways at the
 * endpoint.
 */
final class AttemptTimeout {
    /**
     * The extension of the timeout, as a fraction of the objective, for an operation whose
     * objective has already ended or whose class values late responses.
     */
    private static final double GRACE_FRACTION = 0.5;

    /** The fraction of its value that a late response must keep for the extension. */
    private static final double MIN_LATE_WEIGHT_FRACTION = 0.5;

    private AttemptTimeout() {}

    /** Returns the timeout of an attempt that is sent now, in milliseconds. */
    static double of(Operation operation, double deadlineMarginMillis, double now) {
        TrafficClass trafficClass = operation.trafficClass;
        double timeoutAt = QueuedRequest.of(operation).objectiveEndsAt;
        if (timeoutAt <= now || trafficClass.lateWeightFraction() >= MIN_LATE_WEIGHT_FRACTION) {
            timeoutAt = Math.max(timeoutAt, now) + GRACE_FRACTION * trafficClass.latencyObjective();
        }
        return Math.min(timeoutAt, operation.deadline - deadlineMarginMillis) - now;
    }
}
