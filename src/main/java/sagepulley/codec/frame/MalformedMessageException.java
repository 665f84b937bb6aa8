package sagepulley.codec.frame;

/**
 * Bytes from a socket that its protocol does not allow: that connection ends. Carries no stack
 * trace, for what a peer sends may raise it at any rate.
 */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1;

    /** Says which message was wrong, and how. */
    public MalformedMessageException(String message) {
        super(message, null, false, false);
    }
}
