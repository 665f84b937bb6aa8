package sagepulley.membership;

/**
 * How long the endpoint list may be relied on. A change of the list counts as notified a fixed span
 * after discovery had it, whether or not it arrived here; for the drain grace after that its
 * endpoint may still be used. So the lease is renewed by whatever proves the list current, and ends
 * one span and the grace after the latest such proof. A process that has had no proof since its
 * start holds no lease. Times are milliseconds on the monotonic clock. Owned by the scheduler's
 * thread.
 */
public final class EndpointLease {
    /** A process may be stalled between reading its clock and writing. */
    private static final double STALL_MARGIN_MILLIS = 150;

    /** What the sender's timers may add. */
    private static final double TIMER_MARGIN_MILLIS = 50;

    /** What discovery has counts as notified so long after a new configuration was notified. */
    private static final double NOTIFIED_AFTER_RELOAD_MILLIS = 4_000;

    private final double notificationSpan;
    private final double effectiveDrainGrace;

    /** Until then no change that is unknown here can count as notified. */
    private double currentUntil;

    private double confirmedAt = Double.NEGATIVE_INFINITY;

    /** When a reload was notified that has not been completed; infinite if there is none. */
    private double pendingReloadAt = Double.POSITIVE_INFINITY;

    /**
     * A lease without any proof yet.
     *
     * @param notificationSpan within which a change counts as notified; infinite for an engine to
     *     which nothing arrives late, whose lease always holds
     * @param drainGrace for which an endpoint may be used after its removal was notified
     */
    public EndpointLease(double notificationSpan, double drainGrace) {
        this.notificationSpan = notificationSpan;
        this.effectiveDrainGrace = drainGrace - STALL_MARGIN_MILLIS - TIMER_MARGIN_MILLIS;
        this.currentUntil = isBounded() ? Double.NEGATIVE_INFINITY : Double.POSITIVE_INFINITY;
    }

    /** Whether the lease can expire. */
    public boolean isBounded() {
        return notificationSpan < Double.POSITIVE_INFINITY;
    }

    /** The cached list is known to have been current at a time. */
    public void confirmed(double asOf) {
        confirmedAt = Math.max(confirmedAt, asOf);
        renew(asOf);
    }

    private void renew(double asOf) {
        if (pendingReloadAt < Double.POSITIVE_INFINITY) {
            return; // the proof may be of a discovery that is no longer configured
        }
        currentUntil = Math.max(currentUntil, asOf + notificationSpan);
    }

    /**
     * Nobody could reach discovery at a time: what it has counts as notified only when it has been
     * reachable for the whole span again. That renews a lease under which nothing unknown counts as
     * notified yet, and no other.
     */
    public void unreachable(double at) {
        if (at < currentUntil) {
            renew(at);
        }
    }

    /**
     * A new configuration was notified at a time: discovery may have another address, and has
     * confirmed nothing there yet. Until the reload is completed nobody knows that address, and
     * nothing renews the lease.
     */
    public void reloadNotified(double notifiedAt) {
        if (isBounded()) {
            currentUntil = Math.min(currentUntil, notifiedAt + NOTIFIED_AFTER_RELOAD_MILLIS);
            pendingReloadAt = notifiedAt;
        }
    }

    /** A configuration whose reading began at a time is known, or known to be unusable. */
    public void reloadCompleted(double readAt) {
        if (readAt >= pendingReloadAt) {
            pendingReloadAt = Double.POSITIVE_INFINITY;
        }
    }

    /**
     * The latest time as of which the list is known to have been current; negative infinity if
     * there is none.
     */
    public double confirmedAt() {
        return confirmedAt;
    }

    /** Whether endpoints may be sent to by the cached list. */
    public boolean holds(double now) {
        return now < expiresAt();
    }

    /** When the lease ends unless it is renewed. */
    public double expiresAt() {
        return currentUntil + effectiveDrainGrace;
    }
}
