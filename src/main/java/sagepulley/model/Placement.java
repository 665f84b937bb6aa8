package sagepulley.model;

/**
 * Where an operation goes: to a node, not yet, or never. A timeout is the hop's longest time in milliseconds,
 * an advice how long the client should stay away (0 for none).
 */
public record Placement(Kind kind, Node node, double timeout, double advice) {
    /** What the answer says. */
    public enum Kind { SEND, WAIT, DECLINE, SCRAP }

    public static final Placement NOT_YET = new Placement(Kind.WAIT, null, 0, 0);
    public static final Placement SCRAPPED = new Placement(Kind.SCRAP, null, 0, 0);

    public static Placement send(Node node, double timeout) {
        return new Placement(Kind.SEND, node, timeout, 0);
    }

    public static Placement decline(double advice) {
        return new Placement(Kind.DECLINE, null, 0, advice);
    }
}
