package sagepulley.frontend.resp;

/** A command that cannot be taken; the message is what its client is told. */
final class BadCommandException extends Exception {
    private static final long serialVersionUID = 1L;

    BadCommandException(String what) {
        super(what, null, false, false);
    }
}
