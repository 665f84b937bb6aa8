package sagepulley.engine;

import sagepulley.model.Attempt;
import sagepulley.model.Node;
import sagepulley.model.Operation;
import sagepulley.model.RoutingDecision;

/**
 * Carries out the scheduler's decisions, over the simulator's protocol or over sockets. Times are
 * milliseconds.
 */
public interface DecisionSink {
    /** Sends an operation's latest attempt, which must end within the timeout. */
    void send(Attempt attempt, double timeout);

    /** Answers an operation that the scheduler rejects or abandons. */
    void endUnserved(Operation operation, RoutingDecision decision);

    /** Cancels an attempt whose operation no longer has a waiting client. */
    void cancel(Attempt attempt);

    /** Starts a health check of an endpoint. */
    void checkHealth(Node node);

    /** Opens a watch of the endpoint list. */
    void openWatch();

    /** Polls the endpoint list once. */
    void pollEndpointList();

    /**
     * Schedules the next wake-up after a delay. An infinite delay requests none; the next event
     * wakes the engine.
     */
    void scheduleWakeUp(double delay, double now);
}
