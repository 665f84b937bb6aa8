package sagepulley.scenario;

/** Indicates an invalid or unreadable script. The message names file, line and column. */
public final class ScenarioException extends Exception {
    private static final long serialVersionUID = 1;

    /** Creates an exception whose message lists the errors, one per line. */
    public ScenarioException(String message) {
        super(message);
    }
}
