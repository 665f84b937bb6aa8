package sagepulley.scenario;

/** A script that cannot be used: names file, line and column, and what is wrong there. */
public final class ScenarioException extends Exception {
    private static final long serialVersionUID = 1;

    /** A mistake, or several, one a line. */
    public ScenarioException(String message) {
        super(message);
    }
}
