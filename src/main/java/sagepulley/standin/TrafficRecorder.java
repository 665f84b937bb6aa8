package sagepulley.standin;

import java.util.List;
import sagepulley.discovery.directory.DirectoryMessages;
import sagepulley.upstream.frame.StoreMessages;

/**
 * Records what passes on the stand-ins' sockets. Called on their loops; times are System.nanoTime.
 */
public interface TrafficRecorder {
    /** Records nothing. */
    TrafficRecorder NO_OP = new TrafficRecorder() {};

    /** An attempt was read from a gateway's connection. */
    default void attemptReceived(int node, long gateway, StoreMessages.Send send, long nanos) {}

    /** An operation was executed; its effect is there from now on. */
    default void operationExecuted(int node, long gateway, StoreMessages.Send send, long nanos) {}

    /** An answer was handed to the socket, or held back by a fault (lost). */
    default void attemptAnswered(
            int node,
            long gateway,
            long operationId,
            int attemptNumber,
            StoreMessages.Code code,
            boolean lost,
            long nanos) {}

    /** An attempt was cancelled by its gateway. */
    default void attemptCancelled(int node, long gateway, long operationId, int attemptNumber, long nanos) {}

    /**
     * A node began to serve after a start.
     *
     * @param unitsPerSecond what it can do when warm; NaN where it started warm
     */
    default void nodeStarted(int node, double unitsPerSecond, long nanos) {}

    /** A node collapsed under overload during its slow start. */
    default void nodeCollapsed(int node, long nanos) {}

    /** A gateway was sent the endpoint list, complete or only what changed. */
    default void endpointListSent(
            long gateway,
            boolean complete,
            List<DirectoryMessages.EndpointLine> lines,
            long nanos) {}
}
