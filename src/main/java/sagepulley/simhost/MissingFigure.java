package sagepulley.simhost;

/** The first message lacks a figure that the decisions depend on, or it cannot be read. */
final class MissingFigure extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MissingFigure(String what) {
        super(what, null, false, false);
    }
}
