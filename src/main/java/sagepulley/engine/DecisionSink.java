package sagepulley.engine;

import sagepulley.model.Attempt;
import sagepulley.model.Node;
import sagepulley.model.Operation;
import sagepulley.model.RoutingDecision;

/** Where what Scheduler decides goes out: the simulator's wire, or sockets. */
public interface DecisionSink {
    /** Sends the operation's last attempt, which ends after so many milliseconds at the latest. */
    void send(Attempt attempt, double timeout);

    /** The final answer to an operation that is given up: declined, or scrapped. */
    void endUnserved(Operation operation, RoutingDecision decision);

    /** Nobody waits for this attempt any longer. */
    void cancel(Attempt attempt);

    void checkHealth(Node node);

    void openWatch();

    void pollEndpointList();

    /** Asks to be woken in so many milliseconds; infinite: whenever something comes. */
    void scheduleWakeUp(double pause, double now);
}
