package sagepulley.engine;

import sagepulley.model.Attempt;
import sagepulley.model.Node;
import sagepulley.model.Operation;
import sagepulley.model.RoutingDecision;

/** Where what Control decides goes out: the simulator's wire, or sockets. */
public interface DecisionSink {
    /** Sends the operation's last attempt, which ends after so many milliseconds at the latest. */
    void send(Attempt attempt, double timeout);

    /** The final answer to an operation that is given up: declined, or scrapped. */
    void giveUp(Operation operation, RoutingDecision placement);

    /** Nobody waits for this attempt any longer. */
    void callOff(Attempt attempt);

    void probe(Node node);

    void subscribe();

    void fetch();

    /** Asks to be woken in so many milliseconds; infinite: whenever something comes. */
    void wakeIn(double pause, double now);
}
