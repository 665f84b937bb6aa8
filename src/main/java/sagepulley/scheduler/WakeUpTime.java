package sagepulley.scheduler;

/**
 * Tracks the earliest time at which a decision made now may change, on the monotonic clock in
 * milliseconds. A class that defers an operation records when to check it again.
 */
final class WakeUpTime {
    private double earliest;

    /** Clears the recorded time, at the start of a turn. */
    void reset() {
        earliest = Double.POSITIVE_INFINITY;
    }

    /** Records that a decision may change at a time. */
    void noLaterThan(double time) {
        earliest = Math.min(earliest, time);
    }

    /**
     * Returns the time from now to the recorded time, in milliseconds; infinite if none is
     * recorded.
     */
    double delay(double now) {
        return Math.max(0, earliest - now);
    }
}
