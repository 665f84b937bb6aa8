package sagepulley.model;

/** What to do for an operation after one of its hops has ended. */
public enum Sequel {
    /** Nothing: it is over, or another hop is still out. */
    NOTHING,
    /** Ask where to send it again. */
    PLACE_AGAIN
}
