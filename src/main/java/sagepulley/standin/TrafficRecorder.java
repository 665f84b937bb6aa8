package sagepulley.standin;

import java.util.List;
import sagepulley.discovery.directory.DirectoryMessages;
import sagepulley.upstream.frame.StoreMessages;

/**
 * Notes what passes on the stand-ins' sockets. Called on their loops; times are nanoseconds of one
 * clock.
 */
public interface TrafficRecorder {
    /** Notes nothing. */
    TrafficRecorder NO_OP = new TrafficRecorder() {};

    /** An attempt was read from a gateway's link. */
    default void attemptReceived(int node, long gateway, StoreMessages.Send send, long nanos) {}

    /** An operation's work was begun; its effect is there from now on. */
    default void operationExecuted(int node, long gateway, StoreMessages.Send send, long nanos) {}

    /** An answer was handed to the socket, or kept back by a fault. */
    default void attemptAnswered(
            int node,
            long gateway,
            long mark,
            int number,
            StoreMessages.Code code,
            boolean lost,
            long nanos) {}

    /** An attempt was called off by its gateway. */
    default void attemptCancelled(int node, long gateway, long mark, int number, long nanos) {}

    /** A node began to serve after a start, with what it can do when warm in units a second. */
    default void nodeStarted(int node, double unitsPerSecond, long nanos) {}

    /** A cold node was sent too much and fell over. */
    default void nodeCollapsed(int node, long nanos) {}

    /** A gateway was told lines of the list. */
    default void endpointListSent(
            long gateway,
            boolean complete,
            List<DirectoryMessages.EndpointLine> lines,
            long nanos) {}
}
