package sagepulley.platform;

/** The system did not let the configuration file be read: nobody knows what it says. */
final class UnreadableConfig extends ConfigError {
    private static final long serialVersionUID = 1L;

    UnreadableConfig(String what) {
        super(what);
    }
}
