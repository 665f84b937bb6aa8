package sagepulley.model;

/** What to do for an operation after one of its attempts has ended. */
public enum FollowUp {
    /** Nothing: it is over, or another attempt is still out. */
    NONE,
    /** Ask where to send it again. */
    ROUTE_AGAIN
}
