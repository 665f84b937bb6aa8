package sagepulley.model;

/** A storage node as it appears as an endpoint in this gateway's endpoint list. */
public final class Node {
    /** The phase of an endpoint in the endpoint list. */
    public enum Phase {
        READY,
        DRAINING,
        REMOVED
    }

    public final int id;
    public int zone;
    public int cell;

    /** The hardware kind. */
    public int kind;

    public double weight = 1;
    public Phase phase = Phase.READY;

    /**
     * False if no new objects may be placed on it; the extents that it holds are used regardless.
     */
    public boolean acceptsNewObjects = true;

    /** The time of its last start, in milliseconds; negative infinity if it started long ago. */
    public double startedAt = Double.NEGATIVE_INFINITY;

    /**
     * Set when it was removed for good and none of its attempts is in flight. If the node is listed
     * again, it is represented by a new object.
     */
    public boolean pruned;

    /** The scheduler's state of the endpoint; accessed only by the scheduler. */
    public Object schedulerState;

    /** Creates an endpoint of which only the id is known. */
    public Node(int id) {
        this.id = id;
    }
}
