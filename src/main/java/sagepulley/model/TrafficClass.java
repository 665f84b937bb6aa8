package sagepulley.model;

/**
 * A traffic class: the latency objective, deadline and priority weight of its operations, and
 * whether they may be executed again. Times are milliseconds.
 */
public record TrafficClass(
        int index,
        String name,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        double deduplicationWindow,
        boolean ordered,
        boolean writes,
        double latencyObjective,
        double objectiveStretch,
        double deadline,
        double priorityWeight,
        double lateWeightFraction) {

    /** The condition under which an operation of the class may be executed again. */
    public enum Idempotency {
        IDEMPOTENT,
        DEDUPLICATED,
        NON_IDEMPOTENT
    }

    /**
     * The endpoints that recognise duplicates of a deduplicated operation executed by each other.
     */
    public enum DeduplicationScope {
        ALL,
        ZONE,
        CELL
    }
}
