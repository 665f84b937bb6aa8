package sagepulley.model;

import java.util.List;

/**
 * The result of one turn of the scheduler.
 *
 * @param delay the time to the next turn, in milliseconds
 * @param due the operations to route now
 * @param firstOfKey operations to report that have become the first of their keys
 * @param healthChecks the endpoints to check now
 * @param cancellations the attempts to cancel now
 * @param poll the request for the endpoint list that is due now
 */
public record SchedulerTurn(
        double delay,
        List<Operation> due,
        List<Operation> firstOfKey,
        List<Node> healthChecks,
        List<Attempt> cancellations,
        EndpointPoll poll) {
    /** A request for the endpoint list: none, a watch, or a single fetch. */
    public enum EndpointPoll {
        NONE,
        SUBSCRIBE,
        FETCH
    }
}
