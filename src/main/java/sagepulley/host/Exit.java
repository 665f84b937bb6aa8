package sagepulley.host;

import sagepulley.model.Hop;
import sagepulley.model.Node;
import sagepulley.model.Operation;
import sagepulley.model.Placement;

/** Where what Control decides goes out: the simulator's wire, or sockets. */
public interface Exit {
    /** Sends the operation's last hop, which ends after so many milliseconds at the latest. */
    void send(Hop hop, double timeout);

    /** The final answer to an operation that is given up: declined, or scrapped. */
    void giveUp(Operation operation, Placement placement);

    /** Nobody waits for this hop any longer. */
    void callOff(Hop hop);

    void probe(Node node);

    void subscribe();

    void fetch();

    /** Asks to be woken in so many milliseconds; infinite: whenever something comes. */
    void wakeIn(double pause, double now);
}
