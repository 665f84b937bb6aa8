package sagepulley.model;

import java.util.List;

/**
 * How long to wait before asking again, and what is due now: operations to be placed, nodes to be
 * probed, attempts to be called off, and a call to the list of nodes.
 */
public record SchedulerTurn(
        double length,
        List<Operation> due,
        List<Node> probes,
        List<Attempt> callOff,
        EndpointPoll call) {
    /** A call to the service that keeps the list of nodes. */
    public enum EndpointPoll {
        NONE,
        SUBSCRIBE,
        FETCH
    }
}
