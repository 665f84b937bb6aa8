package sagepulley.model;

/** Why an operation waits, or was given up. */
public enum Reason {
    /** It does not wait. */
    NONE,
    /**
     * Its node's bound is full, and its units are in the volume's reserve, in its share, or beyond
     * it.
     */
    RESERVE_FULL,
    SHARE_FULL,
    BEYOND_SHARE,
    /** The queue that answers showed at the node holds it back. */
    HELD_BACK,
    /** Its node started lately, gives no answers, drains or is gone, or no node holds its cell. */
    COLD,
    SILENT,
    NOT_READY,
    NO_NODE,
    /** The endpoint list is too old to be relied on. */
    NO_LEASE,
    /** The volume's limit, the budget of further attempts, or the order of its key. */
    LIMIT,
    BUDGET,
    ORDER,
    /** There is room, and somebody who ranks before it takes it. */
    RANKS_LATER,
    /**
     * Given up: it would miss its target time, its patience ends, or no further attempt is allowed.
     */
    LATE,
    PATIENCE,
    NO_FURTHER_HOP,
    /** Given up without a promise: it may have run, and must not run again. */
    MAY_HAVE_RUN
}
