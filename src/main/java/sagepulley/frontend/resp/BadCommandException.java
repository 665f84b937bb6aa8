package sagepulley.frontend.resp;

/**
 * Reports an invalid command. The message is sent to the client in the error reply. It may contain
 * the operation id and numbers from the command, but no other client input.
 */
final class BadCommandException extends Exception {
    private static final long serialVersionUID = 1L;

    BadCommandException(String message) {
        super(message, null, false, false);
    }
}
