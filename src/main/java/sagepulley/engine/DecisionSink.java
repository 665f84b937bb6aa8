package sagepulley.engine;

import sagepulley.model.Attempt;
import sagepulley.model.Node;
import sagepulley.model.Operation;
import sagepulley.model.RoutingDecision;

/**
 * Carries out the scheduler's decisions: on the simulator's protocol, or on sockets. Times are
 * milliseconds.
 */
public interface DecisionSink {
    /** Sends an operation's latest attempt, which ends after so many milliseconds at the latest. */
    void send(Attempt attempt, double timeout);

    /** Gives the final answer to an operation that is given up: rejected, or abandoned. */
    void endUnserved(Operation operation, RoutingDecision decision);

    /** Cancels an attempt, for whose operation nobody waits any longer. */
    void cancel(Attempt attempt);

    /** Starts a health check of an endpoint. */
    void checkHealth(Node node);

    /** Opens a watch of the endpoint list. */
    void openWatch();

    /** Polls the endpoint list once. */
    void pollEndpointList();

    /** Asks for a wake-up after a delay; an infinite one means at the next event only. */
    void scheduleWakeUp(double delay, double now);
}
