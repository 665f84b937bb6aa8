package sagepulley.membership;

/**
 * Timeouts of polls to discovery, and which overdue polls stay open. Times are milliseconds on the
 * monotonic clock. Stateless.
 */
public final class EndpointPollPolicy {
    /** A connection to discovery has to come up within this time. */
    public static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    /**
     * An empty line is due every 2 s, so that a watch that brings none for this long is overdue.
     * With {@link #FIRST_LIST_TIMEOUT_MILLIS} it leaves time for one more poll before the lease of
     * the list ends.
     */
    public static final long IDLE_TIMEOUT_MILLIS = 2_500;

    /** A poll whose first list has not come within this time is overdue. */
    public static final long FIRST_LIST_TIMEOUT_MILLIS = 2_200;

    /** Overdue polls that stay open: discovery may be slow, and what it still answers is taken. */
    public static final int MAX_OVERDUE_POLLS = 1;

    /** An overdue poll that has brought something is dropped when it is quiet for longer. */
    private static final double MAX_STALL_MILLIS = 2_500;

    /** An overdue poll that has brought nothing is dropped when it is open for longer. */
    private static final double MAX_UNANSWERED_MILLIS = 12_000;

    private EndpointPollPolicy() {}

    /**
     * Whether the oldest overdue poll is dropped for a later one. As a rule it stays, for it is the
     * first in discovery's queue.
     *
     * @param isAtFormerAddress whether discovery has left the address that it was sent to
     * @param openMillis since it was opened
     * @param idleMillis since its last byte; infinite where none has come
     */
    public static boolean shouldDropOldest(
            boolean isAtFormerAddress, double openMillis, double idleMillis) {
        if (isAtFormerAddress) {
            return true;
        }
        boolean hasReceivedData = idleMillis < Double.POSITIVE_INFINITY;
        return hasReceivedData ? idleMillis > MAX_STALL_MILLIS : openMillis > MAX_UNANSWERED_MILLIS;
    }
}
