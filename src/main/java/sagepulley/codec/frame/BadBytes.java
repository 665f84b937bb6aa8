package sagepulley.codec.frame;

/** What came from a socket is not what its protocol allows: that connection ends. */
public final class BadBytes extends Exception {
    private static final long serialVersionUID = 1;

    public BadBytes(String what) {
        super(what, null, false, false);
    }
}
