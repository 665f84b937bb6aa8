package sagepulley.codec.frame;

/**
 * Thrown for bytes that violate a connection's protocol; the connection ends. Has no stack trace,
 * because a peer can cause any number of these.
 */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1;

    /** Creates an exception whose message names the malformed message and the violation. */
    public MalformedMessageException(String message) {
        super(message, null, false, false);
    }
}
