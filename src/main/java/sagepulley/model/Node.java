package sagepulley.model;

/** A storage node as this gateway's list has it. */
public final class Node {
    /** What the list says of the node. */
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

    /** Whether new objects may go there; what it holds is read and written all the same. */
    public boolean acceptsNewObjects = true;

    /** When it last started, on the common clock; negative infinity for long ago. */
    public double startedAt = Double.NEGATIVE_INFINITY;

    /**
     * Set once it is gone for good and none of its attempts is out: it never comes back as this
     * node.
     */
    public boolean forgotten;

    /** Whatever the decision module keeps with the node; nobody else reads it. */
    public Object schedulerState;

    public Node(int id) {
        this.id = id;
    }
}
