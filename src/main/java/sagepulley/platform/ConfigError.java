package sagepulley.platform;

/** The configuration cannot be used; the message names what is wrong, in one line. */
public class ConfigError extends Exception {
    private static final long serialVersionUID = 1L;

    ConfigError(String what) {
        super(what);
    }
}
