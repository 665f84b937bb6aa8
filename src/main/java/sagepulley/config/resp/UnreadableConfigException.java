package sagepulley.config.resp;

/**
 * Thrown if an I/O error prevented reading the configuration file, so that its content is unknown.
 */
public final class UnreadableConfigException extends ConfigException {
    private static final long serialVersionUID = 1L;

    UnreadableConfigException(String message) {
        super(message);
    }
}
