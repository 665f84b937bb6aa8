package sagepulley.scheduler;

import java.util.LinkedHashMap;
import java.util.Map;
import sagepulley.model.Operation;
import sagepulley.model.TrafficClass;

/**
 * Recognises client retries of operations that were not served, so that a retry keeps the latency
 * objective of the first request. A retry addresses the same extent and has less time to its
 * deadline than is usual for its traffic class.
 *
 * <p>An operation with an early deadline that matches no unserved operation gets a full latency
 * objective, unless its client marks it as a retry.
 */
final class ClientRetryTracker {
    private static final int MAX_UNSERVED_OPERATIONS = 200;

    /**
     * The minimum by which a retry's deadline is nearer than usual, as a fraction of the latency
     * objective.
     */
    private static final double MIN_ELAPSED_FRACTION = 0.1;

    /** The longest time from arrival to deadline seen, in milliseconds, by traffic class index. */
    private final double[] maxTimesToDeadline;

    /** The end of the latency objective of recent operations that were not served, by extent. */
    private final Map<Long, Double> unserved =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, Double> oldest) {
                    return size() > MAX_UNSERVED_OPERATIONS;
                }
            };

    ClientRetryTracker(int trafficClassCount) {
        this.maxTimesToDeadline = new double[trafficClassCount];
    }

    /**
     * Returns when the latency objective of an operation that arrives now ends, in milliseconds.
     */
    double objectiveEndsAt(Operation operation, double now) {
        TrafficClass trafficClass = operation.trafficClass;
        int index = trafficClass.index();
        double timeToDeadline = operation.deadline - now;
        maxTimesToDeadline[index] = Math.max(maxTimesToDeadline[index], timeToDeadline);
        double elapsed = maxTimesToDeadline[index] - timeToDeadline;
        boolean isRetry = elapsed > MIN_ELAPSED_FRACTION * trafficClass.latencyObjective();
        Double originalObjectiveEnd = isRetry ? unserved.get(operation.extent) : null;
        return originalObjectiveEnd != null
                ? originalObjectiveEnd
                : now + trafficClass.latencyObjective() - (operation.clientRetry ? elapsed : 0);
    }

    /**
     * Records the latency objective of an operation that was not served, for a later client retry.
     */
    void onUnserved(Operation operation) {
        if (operation.extent != 0) {
            unserved.put(operation.extent, QueuedRequest.of(operation).objectiveEndsAt);
        }
    }
}
