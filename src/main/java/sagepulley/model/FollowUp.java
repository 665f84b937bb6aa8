package sagepulley.model;

/** The next step for an operation after one of its attempts has ended. */
public enum FollowUp {
    /** No step: the operation has ended, or another attempt is in flight. */
    NONE,
    /** Route the operation again. */
    ROUTE_AGAIN
}
