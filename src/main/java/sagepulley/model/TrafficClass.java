package sagepulley.model;

/**
 * A kind of operation: what it is worth, by when, and whether it may run again. Times are
 * milliseconds.
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

    /** Whether an operation of the band may run a second time. */
    public enum Idempotency {
        IDEMPOTENT,
        DEDUPLICATED,
        NON_IDEMPOTENT
    }

    /** The nodes that drop each other's repeats of a deduplicated operation. */
    public enum DeduplicationScope {
        ALL,
        ZONE,
        CELL
    }
}
