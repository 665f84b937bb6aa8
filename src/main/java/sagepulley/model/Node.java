package sagepulley.model;

/** An endpoint, a storage node, as this gateway's endpoint list has it. */
public final class Node {
    /** What the endpoint list says of an endpoint. */
    public enum Phase {
        READY,
        DRAINING,
        REMOVED
    }

    public final int id;
    public int zone;
    public int cell;
    public int kind;
    public double weight = 1;
    public Phase phase = Phase.READY;

    /** Whether new objects may go there; extents that it holds are read and written regardless. */
    public boolean acceptsNewObjects = true;

    /** When it last started, in milliseconds; negative infinity for long ago. */
    public double startedAt = Double.NEGATIVE_INFINITY;

    /**
     * Set once it is removed for good and none of its attempts is in flight: it never comes back as
     * this object.
     */
    public boolean pruned;

    /** What the scheduler keeps of the endpoint; nobody else reads it. */
    public Object schedulerState;

    /** An endpoint of which only the number is known yet. */
    public Node(int id) {
        this.id = id;
    }
}
