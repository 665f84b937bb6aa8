package sagepulley.config.settings;

/** A setting that the decisions depend on is missing or unreadable; the message names its path. */
public final class InvalidSettingException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Without a stack trace, as it reports a fault of the input. */
    public InvalidSettingException(String message) {
        super(message, null, false, false);
    }
}
