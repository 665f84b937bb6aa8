package sagepulley.model;

/**
 * The part of its plan that an operation's units are taken from: reserve, weighted share, or beyond
 * both.
 */
public enum QuotaTier {
    RESERVE,
    SHARE,
    EXCESS;

    /** Why an operation in this part waits where a node's bound is full. */
    public Reason full() {
        return switch (this) {
            case RESERVE -> Reason.RESERVE_FULL;
            case SHARE -> Reason.SHARE_FULL;
            case EXCESS -> Reason.BEYOND_SHARE;
        };
    }
}
