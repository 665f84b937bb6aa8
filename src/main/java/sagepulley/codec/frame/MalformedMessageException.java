package sagepulley.codec.frame;

/** What came from a socket is not what its protocol allows: that connection ends. */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1;

    public MalformedMessageException(String what) {
        super(what, null, false, false);
    }
}
