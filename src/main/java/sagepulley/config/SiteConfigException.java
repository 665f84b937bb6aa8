package sagepulley.config;

/** Thrown for an invalid site file; the message names file, section, key and expected value. */
public final class SiteConfigException extends Exception {
    private static final long serialVersionUID = 1;

    /** Creates an exception whose message has one line per error. */
    public SiteConfigException(String message) {
        super(message);
    }
}
