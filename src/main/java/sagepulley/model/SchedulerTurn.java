package sagepulley.model;

import java.util.List;

/**
 * How long to wait before asking again, in milliseconds, and what is due now: operations to route,
 * endpoints to check, attempts to cancel, and a poll of the endpoint list.
 */
public record SchedulerTurn(
        double delay,
        List<Operation> due,
        List<Node> healthChecks,
        List<Attempt> cancellations,
        EndpointPoll poll) {
    /** How discovery is asked for the endpoint list: not now, by a watch, or once. */
    public enum EndpointPoll {
        NONE,
        SUBSCRIBE,
        FETCH
    }
}
