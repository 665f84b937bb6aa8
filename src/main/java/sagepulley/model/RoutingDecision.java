package sagepulley.model;

/**
 * Where an operation goes: to a node, not yet, or never. A timeout is the attempt's longest time in
 * milliseconds, an advice how long the client should stay away (0 for none). A reason says why it
 * was given up.
 */
public record RoutingDecision(Kind kind, Node node, double timeout, double advice, Reason reason) {
    /** What the answer says. */
    public enum Kind {
        SEND,
        WAIT,
        DECLINE,
        SCRAP
    }

    public static final RoutingDecision NOT_YET =
            new RoutingDecision(Kind.WAIT, null, 0, 0, Reason.NONE);
    public static final RoutingDecision SCRAPPED =
            new RoutingDecision(Kind.SCRAP, null, 0, 0, Reason.MAY_HAVE_RUN);

    public static RoutingDecision send(Node node, double timeout) {
        return new RoutingDecision(Kind.SEND, node, timeout, 0, Reason.NONE);
    }

    public static RoutingDecision decline(double advice, Reason reason) {
        return new RoutingDecision(Kind.DECLINE, null, 0, advice, reason);
    }
}
