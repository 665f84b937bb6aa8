package sagepulley.model;

/** The outcome of an attempt. */
public enum Outcome implements ExternalName {
    /** The node responded with success. */
    SERVED("satisfied", false),
    /** The node responded with an error, or its response was invalid. */
    FAILED("fault", false),
    /** The node rejected the attempt because it was at capacity. */
    REJECTED("full", true),
    /** No response arrived before the timeout. */
    TIMED_OUT("timed_out", false),
    /** No connection to the node was established, or nothing was written to it. */
    NO_CONNECTION("no_connection", true),
    /** The connection broke after the attempt had been written. */
    RESET("reset", false),
    /** The gateway cancelled the attempt. */
    CANCELLED("called_off", false),
    /** The attempt was not executed: the node reported so, or the gateway did not send it. */
    NOT_EXECUTED("moot", true);

    private final String externalName;

    /** True if the outcome proves that the node did not execute the operation. */
    public final boolean provesNotExecuted;

    Outcome(String externalName, boolean provesNotExecuted) {
        this.externalName = externalName;
        this.provesNotExecuted = provesNotExecuted;
    }

    @Override
    public String externalName() {
        return externalName;
    }
}
