package sagepulley.frontend.resp;

/** An invalid command. The message is sent to the client, and so part of the wire. */
final class BadCommandException extends Exception {
    private static final long serialVersionUID = 1L;

    BadCommandException(String message) {
        super(message, null, false, false);
    }
}
