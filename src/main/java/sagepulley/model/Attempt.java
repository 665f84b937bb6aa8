package sagepulley.model;

/** One sending of an operation to a node. */
public final class Attempt {
    public final Operation operation;
    public final Node node;
    public final int number;
    public final double sentAt;

    /** The part of its plan that the operation was in when it was sent. */
    public QuotaTier quotaTier;

    /** Null while the attempt is out. */
    public Outcome outcome;

    /** How long it took, once it has an outcome. */
    public double duration;

    /**
     * Percent of its plan's rate that the volume got everywhere in a finished period; NaN if not
     * told.
     */
    public double planUsagePercent = Double.NaN;

    /**
     * Units that the node served the volume through other gateways since its last answer to this
     * one.
     */
    public double otherGatewaysUnits;

    /**
     * The node's load report, in the order of the deployment's report fields; null if none came.
     */
    public double[] report;

    /** Whatever the decision module keeps with the attempt; nobody else reads it. */
    public Object schedulerState;

    public Attempt(Operation operation, Node node, int number, double sentAt) {
        this.operation = operation;
        this.node = node;
        this.number = number;
        this.sentAt = sentAt;
    }
}
