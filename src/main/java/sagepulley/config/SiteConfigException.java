package sagepulley.config;

/** A site file that cannot be used: names file, section, key and what is allowed. */
public final class SiteConfigException extends Exception {
    private static final long serialVersionUID = 1;

    /** The message has a line for each mistake. */
    public SiteConfigException(String message) {
        super(message);
    }
}
