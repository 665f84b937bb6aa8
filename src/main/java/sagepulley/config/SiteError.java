package sagepulley.config;

/** A site file that cannot be used: names file, section, key and what is allowed. */
public final class SiteError extends Exception {
    private static final long serialVersionUID = 1;

    public SiteError(String message) {
        super(message);
    }
}
