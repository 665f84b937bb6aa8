package sagepulley.model;

/** How an attempt ended. */
public enum Outcome {
    SATISFIED(false),
    FAULT(false),
    FULL(true),
    TIMED_OUT(false),
    NO_CONNECTION(true),
    RESET(false),
    CALLED_OFF(false),
    MOOT(true);

    /** Whether it proves that the operation never ran there. */
    public final boolean provesNotRun;

    Outcome(boolean provesNotRun) {
        this.provesNotRun = provesNotRun;
    }
}
