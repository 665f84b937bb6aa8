package sagepulley.membership;

/**
 * Tracks how long the cached endpoint list may be used for sending.
 *
 * <p>A change of the list counts as notified a fixed span after discovery has it, whether or not
 * this gateway received it. For the drain grace after that, the affected endpoint may still be
 * used. Each proof that the list is current renews the lease, which expires one span plus the drain
 * grace, less safety margins, after the time that the latest proof covers. A process without any
 * proof since its start holds no lease.
 *
 * <p>Times are milliseconds on the monotonic clock. Owned by the scheduler's thread.
 */
public final class EndpointLease {
    /** Covers a stall of the process between reading the clock and writing a request. */
    private static final double STALL_MARGIN_MILLIS = 150;

    /** Covers delays of the sender's timers. */
    private static final double TIMER_MARGIN_MILLIS = 50;

    /**
     * After a configuration change is notified, changes at discovery count as notified this much
     * later.
     */
    private static final double NOTIFIED_AFTER_RELOAD_MILLIS = 4_000;

    private final double notificationSpan;
    private final double effectiveDrainGrace;

    /** Before this time, no change that is unknown to this gateway counts as notified. */
    private double currentUntil;

    private double confirmedAt = Double.NEGATIVE_INFINITY;

    /** When the reload was notified that has not completed; infinite if there is none. */
    private double pendingReloadAt = Double.POSITIVE_INFINITY;

    /**
     * Creates a lease without any proof of a current list.
     *
     * @param notificationSpan time within which a change counts as notified; infinite if changes
     *     cannot be missed, in which case the lease never expires
     * @param drainGrace time for which an endpoint may be used after its removal counts as notified
     */
    public EndpointLease(double notificationSpan, double drainGrace) {
        this.notificationSpan = notificationSpan;
        this.effectiveDrainGrace = drainGrace - STALL_MARGIN_MILLIS - TIMER_MARGIN_MILLIS;
        this.currentUntil = isBounded() ? Double.NEGATIVE_INFINITY : Double.POSITIVE_INFINITY;
    }

    /** Returns whether the lease can expire. */
    public boolean isBounded() {
        return notificationSpan < Double.POSITIVE_INFINITY;
    }

    /**
     * Records that the cached list was current at a time, and renews the lease unless a reload is
     * pending.
     */
    public void confirmed(double asOf) {
        confirmedAt = Math.max(confirmedAt, asOf);
        renew(asOf);
    }

    private void renew(double asOf) {
        if (pendingReloadAt < Double.POSITIVE_INFINITY) {
            return; // the proof may come from a discovery address that is no longer configured
        }
        currentUntil = Math.max(currentUntil, asOf + notificationSpan);
    }

    /**
     * Records that discovery was unreachable for every client at a time. Changes count as notified
     * only after discovery was reachable for a whole span, so the lease is renewed if no unknown
     * change could count as notified at that time, and left as it is otherwise.
     */
    public void unreachable(double at) {
        if (at < currentUntil) {
            renew(at);
        }
    }

    /**
     * Records that a new configuration was notified, which may move discovery to another address. A
     * bounded lease ends earlier if needed, and nothing renews it until the reload is completed.
     */
    public void reloadNotified(double notifiedAt) {
        if (isBounded()) {
            currentUntil = Math.min(currentUntil, notifiedAt + NOTIFIED_AFTER_RELOAD_MILLIS);
            pendingReloadAt = notifiedAt;
        }
    }

    /**
     * Records that a configuration was read, or found unusable. The reload is complete if reading
     * began at or after its notification.
     */
    public void reloadCompleted(double readAt) {
        if (readAt >= pendingReloadAt) {
            pendingReloadAt = Double.POSITIVE_INFINITY;
        }
    }

    /**
     * Returns the latest time at which the list is known to have been current; negative infinity if
     * there is none.
     */
    public double confirmedAt() {
        return confirmedAt;
    }

    /** Returns whether the cached list may be used for sending. */
    public boolean holds(double now) {
        return now < expiresAt();
    }

    /** Returns the time at which the lease expires unless it is renewed. */
    public double expiresAt() {
        return currentUntil + effectiveDrainGrace;
    }
}
