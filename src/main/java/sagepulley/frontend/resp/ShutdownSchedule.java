package sagepulley.frontend.resp;

/**
 * When a graceful shutdown takes its steps, in milliseconds of the gateway's clock. Made at the
 * start: a process without file descriptors may be unable to load a class when it stops.
 *
 * @param failDelayMillis operations still in flight are failed this long after the signal
 */
record ShutdownSchedule(double failDelayMillis) {
    /**
     * SIGKILL follows SIGTERM no sooner than the longest deadline, capped at this, and the grace
     * period after it. Clients keep using the connections that they have and find no other gateway,
     * so they are served for as long as that.
     */
    private static final double MAX_SERVING_MILLIS = 3_000;

    private static final double KILL_GRACE_MILLIS = 700;

    /** The process may be held up at each of the two steps, hence some room after both. */
    private static final double REPLY_MARGIN_MILLIS = 350;

    private static final double DRAIN_MILLIS = 250;

    /** The schedule where no request has a longer deadline than this. */
    static ShutdownSchedule of(double maxDeadlineMillis) {
        return new ShutdownSchedule(
                Math.min(maxDeadlineMillis, MAX_SERVING_MILLIS)
                        + KILL_GRACE_MILLIS
                        - REPLY_MARGIN_MILLIS);
    }

    /** Operations still in flight are failed at this time. */
    double failAt(double signalledAt) {
        return signalledAt + failDelayMillis;
    }

    /** Connections are drained, and no new command is accepted, from this time on. */
    double drainAt(double signalledAt) {
        return failAt(signalledAt) - DRAIN_MILLIS;
    }
}
