package sagepulley.scheduler;

import sagepulley.model.Operation;
import sagepulley.model.TrafficClass;

/**
 * Ranks operations by their value, from plan price, priority weight and quota tier, per millisecond
 * of service time. On the same priority level the earliest deadline goes first.
 */
final class RequestPriority {
    /** The value per millisecond of service time at level 0; each level halves it. */
    private static final double LEVEL_ZERO_VALUE_PER_MILLI = 1000;

    /** The level of an operation that can no longer meet its latency objective. */
    private static final int LATE_LEVEL = 1000;

    /** Keeps the value finite before the first operation is served. */
    private static final double MIN_SERVICE_TIME_MILLIS = 1e-9;

    private final LatencyTracker latencies;
    private final QuotaTracker quota;

    RequestPriority(LatencyTracker latencies, QuotaTracker quota) {
        this.latencies = latencies;
        this.quota = quota;
    }

    /**
     * Returns the priority level of an operation at an endpoint, or at any endpoint if it is null.
     * Lower levels go first.
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
        return truncatedLog2(LEVEL_ZERO_VALUE_PER_MILLI / value);
    }

    /** Returns the base-2 logarithm of a positive number, rounded toward zero. */
    static int truncatedLog2(double number) {
        int exponent = Math.getExponent(number);
        boolean isPowerOfTwo = number == Math.scalb(1.0, exponent);
        return exponent >= 0 || isPowerOfTwo ? exponent : exponent + 1;
    }

    /** Returns whether the first operation goes before the second. */
    boolean outranks(Operation first, Operation second, EndpointState endpoint, double now) {
        int firstLevel = level(first, endpoint, now);
        int secondLevel = level(second, endpoint, now);
        return firstLevel != secondLevel
                ? firstLevel < secondLevel
                : first.deadline < second.deadline;
    }

    /**
     * Returns whether the first of two requests on one level has the earlier deadline or, with the
     * same deadline, was queued first.
     */
    static boolean isEarlier(QueuedRequest first, QueuedRequest second) {
        double difference = first.operation.deadline - second.operation.deadline;
        return difference < 0 || (difference == 0 && first.sequence < second.sequence);
    }
}
