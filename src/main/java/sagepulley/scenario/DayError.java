package sagepulley.scenario;

/** A script that cannot be used: names file, line and column, and what is wrong there. */
public final class DayError extends Exception {
    private static final long serialVersionUID = 1;

    public DayError(String message) {
        super(message);
    }
}
