package sagepulley.config.resp;

/** Thrown if the configuration is missing or cannot be used; the message is one line. */
public class ConfigException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception whose one-line message names the file or key and the error. */
    public ConfigException(String message) {
        super(message);
    }
}
