package sagepulley.scheduler;

import sagepulley.model.Operation;
import sagepulley.model.TrafficClass;

/**
 * Ranks operations by the value that is still due for them, for the time that they take of an
 * endpoint; among equals the earliest deadline goes first.
 */
final class RequestPriority {
    /** Values within this factor of each other rank equal. */
    private static final double LEVEL_BASE = 2;

    /** The value for a millisecond that ranks at level 0. */
    private static final double LEVEL_ZERO_VALUE_PER_MILLI = 1000;

    /** The level of an operation that would miss its objective. */
    private static final int LATE_LEVEL = 1000;

    /** Keeps the value finite before the first answer. */
    private static final double MIN_SERVICE_TIME_MILLIS = 1e-9;

    private final LatencyTracker latencies;
    private final QuotaTracker quota;

    RequestPriority(LatencyTracker latencies, QuotaTracker quota) {
        this.latencies = latencies;
        this.quota = quota;
    }

    /**
     * The priority level of an operation at an endpoint, the lowest first; null for any endpoint.
     */
    int level(Operation operation, EndpointState endpoint, double now) {
        if (latencies.latestStartAt(operation) <= now) {
            return LATE_LEVEL;
        }
        TrafficClass trafficClass = operation.trafficClass;
        double fraction = quota.weightFraction(operation.volume, operation.units, endpoint, now);
        double serviceTime = latencies.meanServiceTime(trafficClass) + MIN_SERVICE_TIME_MILLIS;
        double value =
                fraction
                        * operation.volume.plan.price()
                        * trafficClass.priorityWeight()
                        / serviceTime;
        return (int) (Math.log(LEVEL_ZERO_VALUE_PER_MILLI / value) / Math.log(LEVEL_BASE));
    }

    /** Whether the first operation goes before the second. */
    boolean outranks(Operation first, Operation second, EndpointState endpoint, double now) {
        int firstLevel = level(first, endpoint, now);
        int secondLevel = level(second, endpoint, now);
        return firstLevel != secondLevel
                ? firstLevel < secondLevel
                : first.deadline < second.deadline;
    }

    /** Of two on one level, whether the first has the earlier deadline or was queued before. */
    static boolean isEarlier(QueuedRequest first, QueuedRequest second) {
        double difference = first.operation.deadline - second.operation.deadline;
        return difference < 0 || (difference == 0 && first.sequence < second.sequence);
    }
}
