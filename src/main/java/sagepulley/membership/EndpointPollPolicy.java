package sagepulley.membership;

/**
 * Defines the timeouts of polls to discovery, and which overdue polls stay open. Times are
 * milliseconds on the monotonic clock. Stateless.
 */
public final class EndpointPollPolicy {
    /** Time limit for opening a connection to discovery. */
    public static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    /**
     * A watch that receives nothing for this long is overdue; discovery sends an empty line every 2
     * s. Together with {@link #FIRST_LIST_TIMEOUT_MILLIS} this leaves time for one more poll before
     * the lease of the list ends.
     */
    public static final long IDLE_TIMEOUT_MILLIS = 2_500;

    /** A poll without its first list after this time is overdue. */
    public static final long FIRST_LIST_TIMEOUT_MILLIS = 2_200;

    /** Overdue polls that stay open, because a slow discovery may still answer them. */
    public static final int MAX_OVERDUE_POLLS = 1;

    /** An overdue poll that has received data may be closed after this much idle time. */
    private static final double MAX_STALL_MILLIS = 2_500;

    /** An overdue poll that has received nothing may be closed after this time. */
    private static final double MAX_UNANSWERED_MILLIS = 12_000;

    private EndpointPollPolicy() {}

    /**
     * Returns whether the oldest overdue poll is closed, instead of the newest, when more than
     * {@link #MAX_OVERDUE_POLLS} are open. Normally the oldest is kept, because it is first in
     * discovery's queue.
     *
     * @param isAtFormerAddress whether the poll was sent to an address that discovery has left
     * @param openMillis time since the poll was opened
     * @param idleMillis time since its last received byte; infinite if it has received none
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
