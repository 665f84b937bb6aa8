package sagepulley.model;

/** How an attempt ended. */
public enum Outcome implements ExternalName {
    /** The node answered with success. */
    SERVED("satisfied", false),
    /** The node answered with an error, or with what is no answer. */
    FAILED("fault", false),
    /** The node rejected the attempt because it was at capacity. */
    REJECTED("full", true),
    /** No answer came in time. */
    TIMED_OUT("timed_out", false),
    /** No connection to the node came up, or nothing was written to it. */
    NO_CONNECTION("no_connection", true),
    /** The connection broke after the attempt had been written. */
    RESET("reset", false),
    /** The gateway cancelled the attempt. */
    CANCELLED("called_off", false),
    /** The node did not execute the attempt, and says so. */
    NOT_EXECUTED("moot", true);

    private final String externalName;

    /** Whether it proves that the operation was not executed there. */
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
