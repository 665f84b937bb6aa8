package sagepulley.model;

/**
 * The scheduler's decision on an operation.
 *
 * @param kind whether the operation is sent, waits, is rejected or is abandoned
 * @param node the node to which the operation is sent; null unless it is sent
 * @param timeout the timeout of the attempt, in milliseconds
 * @param retryAfter the advised delay before the client's retry, in milliseconds; 0 for no advice
 * @param reason why the operation was rejected or abandoned
 */
public record RoutingDecision(
        Kind kind, Node node, double timeout, double retryAfter, Reason reason) {
    /**
     * Send now, wait, reject (a client's retry is safe), or abandon (it may have been executed).
     */
    public enum Kind {
        SEND,
        WAIT,
        REJECT,
        ABANDON
    }

    /** The operation waits. */
    public static final RoutingDecision WAITING =
            new RoutingDecision(Kind.WAIT, null, 0, 0, Reason.NONE);

    /** The operation is abandoned, because it may have been executed. */
    public static final RoutingDecision ABANDONED =
            new RoutingDecision(Kind.ABANDON, null, 0, 0, Reason.MAY_HAVE_EXECUTED);

    /** Returns the decision to send the operation to a node, with a timeout in milliseconds. */
    public static RoutingDecision send(Node node, double timeout) {
        return new RoutingDecision(Kind.SEND, node, timeout, 0, Reason.NONE);
    }

    /**
     * Returns the decision to reject the operation, with the advised retry delay in milliseconds.
     */
    public static RoutingDecision reject(double retryAfter, Reason reason) {
        return new RoutingDecision(Kind.REJECT, null, 0, retryAfter, reason);
    }
}
