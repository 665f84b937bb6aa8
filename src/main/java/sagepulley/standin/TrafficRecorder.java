package sagepulley.standin;

import java.util.List;
import sagepulley.discovery.directory.DirectoryMessages;
import sagepulley.upstream.frame.StoreMessages;

/**
 * Records the traffic on the stand-ins' sockets. Called on their loops; times are System.nanoTime.
 */
public interface TrafficRecorder {
    /** Records nothing. */
    TrafficRecorder NO_OP = new TrafficRecorder() {};

    /** Records an attempt read from a gateway's connection. */
    default void attemptReceived(int node, long gateway, StoreMessages.Send send, long nanos) {}

    /** Records the execution of an operation, just before its effect is applied. */
    default void operationExecuted(int node, long gateway, StoreMessages.Send send, long nanos) {}

    /**
     * Records the answer to an attempt, also if the gateway's connection has ended.
     *
     * @param lost whether a fault suppressed the answer
     */
    default void attemptAnswered(
            int node,
            long gateway,
            long operationId,
            int attemptNumber,
            StoreMessages.Code code,
            boolean lost,
            long nanos) {}

    /** Records the cancellation of an attempt by its gateway. */
    default void attemptCancelled(
            int node, long gateway, long operationId, int attemptNumber, long nanos) {}

    /**
     * Records that a node began to serve after a start.
     *
     * @param unitsPerSecond the warm capacity; NaN if the node started warm
     */
    default void nodeStarted(int node, double unitsPerSecond, long nanos) {}

    /** Records that a node collapsed under overload during its slow start. */
    default void nodeCollapsed(int node, long nanos) {}

    /** Records an endpoint list sent to a gateway, complete or with the changed lines only. */
    default void endpointListSent(
            long gateway,
            boolean complete,
            List<DirectoryMessages.EndpointLine> lines,
            long nanos) {}
}
