package sagepulley.model;

/**
 * A traffic class: the latency objective, deadline and priority weight of its operations, and
 * whether they may be executed again. Times are milliseconds.
 *
 * @param index the index of the class in the deployment
 * @param name the name of the class
 * @param idempotency the condition under which an operation may be executed again
 * @param deduplicationScope the endpoints that recognise duplicates of a deduplicated operation
 * @param deduplicationWindow the time after an attempt in which its duplicates are recognised
 * @param ordered whether operations on one key are executed one at a time, in order of arrival
 * @param writes whether the operations are writes
 * @param latencyObjective the time from arrival within which an operation is to be served
 * @param objectiveStretch a value from the settings that the gateway does not use
 * @param deadline the time from arrival after which clients stop waiting, unless a request says
 *     otherwise
 * @param priorityWeight the weight of an operation in its priority and in the accounts
 * @param lateWeightFraction the fraction of that weight which a late response keeps
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
