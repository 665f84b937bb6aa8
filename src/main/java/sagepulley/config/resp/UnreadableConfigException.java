package sagepulley.config.resp;

/** The system did not let the configuration file be read, so that its content is unknown. */
public final class UnreadableConfigException extends ConfigException {
    private static final long serialVersionUID = 1L;

    UnreadableConfigException(String message) {
        super(message);
    }
}
