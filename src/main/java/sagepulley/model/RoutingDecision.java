package sagepulley.model;

/**
 * Where an operation goes: to an endpoint, not yet, or never.
 *
 * @param timeout the longest time of the attempt, in milliseconds
 * @param retryAfter how long the client should wait before its retry, in milliseconds; 0 for no
 *     advice
 * @param reason why the operation was given up
 */
public record RoutingDecision(
        Kind kind, Node node, double timeout, double retryAfter, Reason reason) {
    /** Sent now, waits, rejected (a retry does no harm), or abandoned (it may have effect). */
    public enum Kind {
        SEND,
        WAIT,
        REJECT,
        ABANDON
    }

    /** The operation waits. */
    public static final RoutingDecision WAITING =
            new RoutingDecision(Kind.WAIT, null, 0, 0, Reason.NONE);

    /** The operation is given up, and may have been executed. */
    public static final RoutingDecision ABANDONED =
            new RoutingDecision(Kind.ABANDON, null, 0, 0, Reason.MAY_HAVE_EXECUTED);

    /** The operation goes to an endpoint now, for at most so many milliseconds. */
    public static RoutingDecision send(Node node, double timeout) {
        return new RoutingDecision(Kind.SEND, node, timeout, 0, Reason.NONE);
    }

    /** The operation is rejected; the client may retry after so many milliseconds. */
    public static RoutingDecision reject(double retryAfter, Reason reason) {
        return new RoutingDecision(Kind.REJECT, null, 0, retryAfter, reason);
    }
}
