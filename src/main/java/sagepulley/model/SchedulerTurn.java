package sagepulley.model;

import java.util.List;

/**
 * How long to wait before asking again, and what is due now: operations to be placed, nodes to be
 * probed, attempts to be called off, and a call to the list of nodes.
 */
public record SchedulerTurn(
        double delay,
        List<Operation> due,
        List<Node> healthChecks,
        List<Attempt> cancellations,
        EndpointPoll poll) {
    /** A call to the service that keeps the list of nodes. */
    public enum EndpointPoll {
        NONE,
        SUBSCRIBE,
        FETCH
    }
}
