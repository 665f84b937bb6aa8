package sagepulley.model;

/**
 * Where an operation goes: to a node, not yet, or never. A timeout is the attempt's longest time in
 * milliseconds, an advice how long the client should stay away (0 for none). A reason says why it
 * was given up.
 */
public record Placement(Kind kind, Node node, double timeout, double advice, Reason reason) {
    /** What the answer says. */
    public enum Kind {
        SEND,
        WAIT,
        DECLINE,
        SCRAP
    }

    public static final Placement NOT_YET = new Placement(Kind.WAIT, null, 0, 0, Reason.NONE);
    public static final Placement SCRAPPED =
            new Placement(Kind.SCRAP, null, 0, 0, Reason.MAY_HAVE_RUN);

    public static Placement send(Node node, double timeout) {
        return new Placement(Kind.SEND, node, timeout, 0, Reason.NONE);
    }

    public static Placement decline(double advice, Reason reason) {
        return new Placement(Kind.DECLINE, null, 0, advice, reason);
    }
}
