package sagepulley.config.settings;

/** Thrown if a required setting is missing or a setting is invalid; the message names its path. */
public final class InvalidSettingException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception without a stack trace, as it reports invalid input. */
    public InvalidSettingException(String message) {
        super(message, null, false, false);
    }
}
