package sagepulley.discovery.http;

/**
 * Tracks when the parts of a response arrive, and derives as of when its lists are current. Times
 * are in milliseconds on the monotonic clock.
 */
final class ResponseTiming {
    /**
     * Upper bound on the assumed delivery delay of a line. The assumed delay is shorter if the
     * first list of the watch took less time.
     */
    private static final double MAX_DELIVERY_DELAY_MILLIS = 1_000;

    /** A line end within this time after a list belongs to that list and is not a heartbeat. */
    private static final double LINE_END_GRACE_MILLIS = 500;

    private double requestedAt = Double.NaN;
    private double firstListDurationMillis;

    /** Time at which the first bytes of the current list arrived. */
    private double listStartedAt = Double.NaN;

    private double lastListAt = Double.NEGATIVE_INFINITY;
    private double lastByteAt = Double.NEGATIVE_INFINITY;

    void onRequested(double now) {
        requestedAt = now;
    }

    void onBytes(double now) {
        lastByteAt = now;
    }

    void onListStarted(double receivedAt) {
        listStartedAt = receivedAt;
    }

    void onListEnded(double now) {
        lastListAt = now;
    }

    /** Records how long the first list took, which has just ended. */
    void onFirstListEnded() {
        firstListDurationMillis = lastListAt - requestedAt;
    }

    /** Returns the time since the last byte arrived; infinite if there was none. */
    double idleMillis(double now) {
        return now - lastByteAt;
    }

    /**
     * Returns whether a line end received at the given time is a heartbeat, not the end of a list.
     */
    boolean isHeartbeat(double receivedAt) {
        return receivedAt - lastListAt > LINE_END_GRACE_MILLIS;
    }

    /**
     * Returns a time as of which the list that has just ended was current. The first list reflects
     * a state of discovery after the request, however long its delivery took.
     */
    double listCurrentAsOf(boolean isFirstList) {
        return isFirstList ? requestedAt : earliestWriteTime(listStartedAt);
    }

    /** Returns a time no later than the writing of a line that was received at the given time. */
    double earliestWriteTime(double receivedAt) {
        return receivedAt - Math.min(firstListDurationMillis, MAX_DELIVERY_DELAY_MILLIS);
    }
}
