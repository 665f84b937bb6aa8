package sagepulley.discovery.http;

/**
 * When the parts of one response came, and as of when discovery wrote them. Times are milliseconds
 * on the monotonic clock.
 */
final class ResponseTiming {
    /**
     * A line on a watch was written at most this long before it came, or as long as the first list
     * of the watch took.
     */
    private static final double MAX_DELIVERY_DELAY_MILLIS = 1_000;

    /** A line end this soon after a list ends that list's line, and is no heartbeat. */
    private static final double LINE_END_GRACE_MILLIS = 500;

    private double requestedAt = Double.NaN;
    private double firstListDurationMillis;

    /** When the first bytes of the list under way came. */
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

    /** The list that has just ended is the first one. */
    void onFirstListEnded() {
        firstListDurationMillis = lastListAt - requestedAt;
    }

    /** Since the last byte; infinite where none has come. */
    double idleMillis(double now) {
        return now - lastByteAt;
    }

    /** Whether a line end that came at this time stands by itself. */
    boolean isHeartbeat(double receivedAt) {
        return receivedAt - lastListAt > LINE_END_GRACE_MILLIS;
    }

    /**
     * A time at which the list that has just ended was current. The first list is what discovery
     * had at some time after the request, however long it was on its way.
     */
    double listCurrentAsOf(boolean isFirstList) {
        return isFirstList ? requestedAt : earliestWriteTime(listStartedAt);
    }

    /** A time at which a line that was received at this time had not been written yet. */
    double earliestWriteTime(double receivedAt) {
        return receivedAt - Math.min(firstListDurationMillis, MAX_DELIVERY_DELAY_MILLIS);
    }
}
