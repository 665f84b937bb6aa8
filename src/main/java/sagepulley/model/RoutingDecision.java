package sagepulley.model;

/**
 * Where an operation goes: to a node, not yet, or never. A timeout is the attempt's longest time in
 * milliseconds, an advice how long the client should stay away (0 for none). A reason says why it
 * was given up.
 */
public record RoutingDecision(
        Kind kind, Node node, double timeout, double retryAfter, Reason reason) {
    /** What the answer says. */
    public enum Kind {
        SEND,
        WAIT,
        REJECT,
        ABANDON
    }

    public static final RoutingDecision NOT_YET =
            new RoutingDecision(Kind.WAIT, null, 0, 0, Reason.NONE);
    public static final RoutingDecision ABANDONED =
            new RoutingDecision(Kind.ABANDON, null, 0, 0, Reason.MAY_HAVE_EXECUTED);

    public static RoutingDecision send(Node node, double timeout) {
        return new RoutingDecision(Kind.SEND, node, timeout, 0, Reason.NONE);
    }

    public static RoutingDecision reject(double advice, Reason reason) {
        return new RoutingDecision(Kind.REJECT, null, 0, advice, reason);
    }
}
