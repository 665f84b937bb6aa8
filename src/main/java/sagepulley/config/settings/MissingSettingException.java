package sagepulley.config.settings;

/** The first message lacks a figure that the decisions depend on, or it cannot be read. */
public final class MissingSettingException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public MissingSettingException(String what) {
        super(what, null, false, false);
    }
}
