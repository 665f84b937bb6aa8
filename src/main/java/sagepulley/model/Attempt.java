package sagepulley.model;

/** One sending of an operation to an endpoint. Times are milliseconds. */
public final class Attempt {
    public final Operation operation;
    public final Node node;
    public final int number;
    public final double sentAt;

    /** The quota tier of the operation when it was sent. */
    public QuotaTier quotaTier;

    /** Null while the attempt is in flight. */
    public Outcome outcome;

    /** How long it took, in milliseconds, once it has an outcome. */
    public double duration;

    /**
     * Percent of its plan's rate that the volume got at all endpoints in a finished period; NaN if
     * not reported.
     */
    public double planUsagePercent = Double.NaN;

    /**
     * Units that the endpoint served the volume through other gateways since its last answer to
     * this one.
     */
    public double otherGatewaysUnits;

    /**
     * The endpoint's load report, in the order of the deployment's report fields; null if none
     * came.
     */
    public double[] report;

    /** An attempt that is sent at a time; its number counts from 0 within the operation. */
    public Attempt(Operation operation, Node node, int number, double sentAt) {
        this.operation = operation;
        this.node = node;
        this.number = number;
        this.sentAt = sentAt;
    }
}
