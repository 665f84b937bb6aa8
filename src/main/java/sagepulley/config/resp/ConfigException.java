package sagepulley.config.resp;

/** The configuration cannot be used; the message names what is wrong, in one line. */
public class ConfigException extends Exception {
    private static final long serialVersionUID = 1L;

    /** The message is one line: the file or key, and what is wrong with it. */
    public ConfigException(String message) {
        super(message);
    }
}
