package sagepulley.frontend.resp;

/**
 * Schedules the steps of a graceful shutdown, in milliseconds of the gateway's clock. Created at
 * the start, because a process without free file descriptors may be unable to load a class at
 * shutdown.
 *
 * @param failDelayMillis time from the signal until operations still in flight are failed
 */
record ShutdownSchedule(double failDelayMillis) {
    /**
     * Cap on the longest deadline in the schedule. SIGKILL follows SIGTERM after the capped
     * deadline plus the kill grace, at the earliest. Clients keep using their open connections in
     * the meantime because they find no other gateway, so the gateway keeps serving them.
     */
    private static final double MAX_SERVING_MILLIS = 3_000;

    private static final double KILL_GRACE_MILLIS = 700;

    /** Margin before SIGKILL in case the process is delayed at the drain or the fail step. */
    private static final double REPLY_MARGIN_MILLIS = 350;

    /** Time from the drain step to the fail step. */
    private static final double DRAIN_MILLIS = 250;

    /** Returns the schedule for a deployment whose longest deadline is the given one. */
    static ShutdownSchedule of(double maxDeadlineMillis) {
        return new ShutdownSchedule(
                Math.min(maxDeadlineMillis, MAX_SERVING_MILLIS)
                        + KILL_GRACE_MILLIS
                        - REPLY_MARGIN_MILLIS);
    }

    /** Returns the time at which operations still in flight are failed. */
    double failAt(double signalledAt) {
        return signalledAt + failDelayMillis;
    }

    /** Returns the time from which connections are drained and new commands are rejected. */
    double drainAt(double signalledAt) {
        return failAt(signalledAt) - DRAIN_MILLIS;
    }
}
