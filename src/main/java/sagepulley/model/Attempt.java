package sagepulley.model;

/** An attempt of an operation at an endpoint. Times are milliseconds. */
public final class Attempt {
    public final Operation operation;
    public final Node node;
    public final int number;
    public final double sentAt;

    /** The quota tier of the operation when it was sent. */
    public QuotaTier quotaTier;

    /** Null while the attempt is in flight. */
    public Outcome outcome;

    /** The time from sending to the outcome, in milliseconds; set with the outcome. */
    public double duration;

    /**
     * The volume's usage at all endpoints in a completed usage period, as a percentage of its
     * plan's rate; NaN if not reported.
     */
    public double planUsagePercent = Double.NaN;

    /**
     * Units that the endpoint served the volume through other gateways since its last response to
     * this gateway.
     */
    public double otherGatewaysUnits;

    /**
     * The endpoint's load report, in the order of the deployment's report fields; null if none was
     * received.
     */
    public double[] report;

    /**
     * Creates an attempt that is sent at the given time; its number counts from 0 within the
     * operation.
     */
    public Attempt(Operation operation, Node node, int number, double sentAt) {
        this.operation = operation;
        this.node = node;
        this.number = number;
        this.sentAt = sentAt;
    }
}
