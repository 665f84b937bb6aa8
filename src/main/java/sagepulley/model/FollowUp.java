package sagepulley.model;

/** What to do for an operation after one of its attempts has ended. */
public enum FollowUp {
    /** Nothing: it has ended, or another attempt is still in flight. */
    NONE,
    /** Ask the scheduler where to send it next. */
    ROUTE_AGAIN
}
