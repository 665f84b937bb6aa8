package sagepulley.model;

/**
 * A kind of operation: what it is worth, by when, and whether it may run again. Times are
 * milliseconds.
 */
public record TrafficClass(
        int index,
        String name,
        Idempotency repeat,
        DeduplicationScope group,
        double groupMemory,
        boolean inOrder,
        boolean writes,
        double targetTime,
        double targetStretch,
        double patience,
        double utility,
        double lateShare) {

    /** Whether an operation of the band may run a second time. */
    public enum Idempotency {
        IDEMPOTENT,
        DEDUPLICATED,
        UNREPEATABLE
    }

    /** The nodes that drop each other's repeats of a deduplicated operation. */
    public enum DeduplicationScope {
        ALL,
        ZONE,
        CELL
    }
}
