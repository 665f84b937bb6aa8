package sagepulley.scheduler;

import java.util.LinkedHashMap;
import java.util.Map;
import sagepulley.model.Operation;
import sagepulley.model.TrafficClass;

/**
 * Recognises a client's retry of an operation that was not served, so that it keeps the latency
 * objective of the first attempt: it names the same extent and has less time left to its deadline
 * than others of its traffic class. Any other operation with an early deadline is only hurried; its
 * latency objective has just begun.
 */
final class ClientRetryTracker {
    private static final int MAX_UNSERVED_OPERATIONS = 200;

    /** The part of the latency objective by which a retry's deadline is nearer than others'. */
    private static final double MIN_ELAPSED_FRACTION = 0.1;

    /** By traffic class, the longest time from arrival to deadline that was seen, in ms. */
    private final double[] maxTimesToDeadline;

    /** By extent, when the objective of an operation ends that lately was not served. */
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

    /** When the latency objective of an operation that arrives now ends, in milliseconds. */
    double objectiveEndsAt(Operation operation, double now) {
        TrafficClass trafficClass = operation.trafficClass;
        int index = trafficClass.index();
        double timeToDeadline = operation.deadline - now;
        maxTimesToDeadline[index] = Math.max(maxTimesToDeadline[index], timeToDeadline);
        double elapsed = maxTimesToDeadline[index] - timeToDeadline;
        boolean isRetry = elapsed > MIN_ELAPSED_FRACTION * trafficClass.latencyObjective();
        Double originalObjectiveAt = isRetry ? unserved.get(operation.extent) : null;
        return originalObjectiveAt != null
                ? originalObjectiveAt
                : now + trafficClass.latencyObjective() - (operation.clientRetry ? elapsed : 0);
    }

    /** Remembers the objective of an operation that was not served, for the client's retry. */
    void onUnserved(Operation operation) {
        if (operation.extent != 0) {
            unserved.put(operation.extent, QueuedRequest.of(operation).objectiveEndsAt);
        }
    }
}
