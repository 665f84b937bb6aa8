package sagepulley.scheduler;

import sagepulley.model.Operation;
import sagepulley.model.TrafficClass;

/**
 * How long an attempt may take. It ends with the latency objective: one that is never answered, as
 * by an endpoint that hangs or is cut off, must not use up the concurrency limit until the client's
 * deadline, and late work delays every other gateway's at the endpoint.
 */
final class AttemptTimeout {
    /** The part of the objective that an attempt goes on after it where late answers have worth. */
    private static final double GRACE_FRACTION = 0.5;

    /** The part of its value that a late answer must have for that. */
    private static final double MIN_LATE_WEIGHT_FRACTION = 0.5;

    private AttemptTimeout() {}

    /** The longest time of an attempt that is sent now, in milliseconds. */
    static double of(Operation operation, double deadlineMarginMillis, double now) {
        TrafficClass trafficClass = operation.trafficClass;
        double timeoutAt = QueuedRequest.of(operation).objectiveEndsAt;
        if (timeoutAt <= now || trafficClass.lateWeightFraction() >= MIN_LATE_WEIGHT_FRACTION) {
            timeoutAt = Math.max(timeoutAt, now) + GRACE_FRACTION * trafficClass.latencyObjective();
        }
        return Math.min(timeoutAt, operation.deadline - deadlineMarginMillis) - now;
    }
}
