package sagepulley.scheduler;

/**
 * The earliest time at which a decision taken now may turn out differently, on the monotonic clock
 * in milliseconds. Each concern that answers "not yet" notes when it is worth asking again.
 */
final class WakeUpTime {
    private double earliest;

    /** Forgets what was noted; the next turn collects it anew. */
    void reset() {
        earliest = Double.POSITIVE_INFINITY;
    }

    /** Notes that a decision may change at a time. */
    void noLaterThan(double time) {
        earliest = Math.min(earliest, time);
    }

    /** How long to wait from now, in milliseconds; infinite if nothing was noted. */
    double delay(double now) {
        return Math.max(0, earliest - now);
    }
}
