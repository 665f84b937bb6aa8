package sagepulley.membership;

/**
 * How long calls to discovery are waited for, and which of those that are overdue are kept open.
 * Times are milliseconds on the monotonic clock.
 */
public final class EndpointPollPolicy {
    /** A connection to discovery has to come up within this time. */
    public static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    /**
     * An empty line is due every 2 s, so that a watch that brings none for this long is overdue,
     * and so is a call whose first list does not come. Both together leave time for one more call
     * before the lease of the list ends.
     */
    public static final long IDLE_TIMEOUT_MILLIS = 2_500;

    public static final long FIRST_LIST_TIMEOUT_MILLIS = 2_200;

    /**
     * Overdue calls that are kept open: discovery may be slow, and what it still answers is taken.
     */
    public static final int MAX_OVERDUE = 1;

    /**
     * One that has brought something gives way after so long without more, one that has brought
     * nothing after so long.
     */
    private static final double STALLED_AFTER = 2_500;

    private static final double UNANSWERED_AFTER = 12_000;

    private EndpointPollPolicy() {}

    /**
     * Whether the oldest overdue call is dropped for a later one. It stays as a rule, for it is the
     * first in discovery's queue; one at an address that discovery has left, or that goes on no
     * more, does not.
     *
     * @param openFor since it was opened
     * @param quietFor since its last byte; infinite where none has come
     */
    public static boolean shouldDropOldest(
            boolean isAtFormerAddress, double openFor, double quietFor) {
        if (isAtFormerAddress) {
            return true;
        }
        boolean hasBegun = quietFor < Double.POSITIVE_INFINITY;
        return hasBegun ? quietFor > STALLED_AFTER : openFor > UNANSWERED_AFTER;
    }
}
