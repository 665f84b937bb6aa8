package sagepulley.platform;

/** The configuration cannot be used; the message names what is wrong, in one line. */
public class ConfigException extends Exception {
    private static final long serialVersionUID = 1L;

    ConfigException(String what) {
        super(what);
    }
}
