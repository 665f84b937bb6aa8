package sagepulley.membership;

/**
 * How long the endpoint list may be relied on. A change of the list counts as notified a fixed span
 * after discovery had it, whether or not it arrived here; for the drain grace after that its
 * endpoint may still be used. So the lease is renewed by whatever proves the list current, and ends
 * one span and the grace after the latest such proof. A process that has had no proof since its
 * start holds no lease. Times are milliseconds on the monotonic clock.
 */
public final class EndpointLease {
    /**
     * A process may be held up between reading its clock and writing; and what the sender's timers
     * add.
     */
    private static final double HOLD_UP = 150;

    private static final double TIMER_SLACK = 50;

    /** What discovery has to tell counts as notified so long after a new configuration was told. */
    private static final double NOTIFIED_AFTER_RELOAD = 4_000;

    private final double notifiedWithin;
    private final double usableAfter;

    /** Until then no change that is unknown here can count as notified. */
    private double currentUntil;

    private double confirmedAt = Double.NEGATIVE_INFINITY;

    /** When a new configuration was told that has not been read yet; infinite if there is none. */
    private double unreadSince = Double.POSITIVE_INFINITY;

    /** An infinite span is that of a host to which nothing arrives late: its lease always holds. */
    public EndpointLease(double notifiedWithin, double drainGrace) {
        this.notifiedWithin = notifiedWithin;
        this.usableAfter = drainGrace - HOLD_UP - TIMER_SLACK;
        this.currentUntil = isBounded() ? Double.NEGATIVE_INFINITY : Double.POSITIVE_INFINITY;
    }

    public boolean isBounded() {
        return notifiedWithin < Double.POSITIVE_INFINITY;
    }

    /** The list held is known to have been current at a time. */
    public void confirmed(double asOf) {
        confirmedAt = Math.max(confirmedAt, asOf);
        renew(asOf);
    }

    private void renew(double asOf) {
        if (unreadSince < Double.POSITIVE_INFINITY) {
            return; // whoever proved it may be no discovery of ours any more
        }
        currentUntil = Math.max(currentUntil, asOf + notifiedWithin);
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
     * A new configuration was told at a time: discovery may be elsewhere, and has confirmed nothing
     * there yet. Until the configuration has been read nobody knows where that is, and nothing
     * renews the lease.
     */
    public void reloadNotified(double toldAt) {
        if (isBounded()) {
            currentUntil = Math.min(currentUntil, toldAt + NOTIFIED_AFTER_RELOAD);
            unreadSince = toldAt;
        }
    }

    /** A configuration whose reading began at a time is known, or known to be of no use. */
    public void reloadCompleted(double readAt) {
        if (readAt >= unreadSince) {
            unreadSince = Double.POSITIVE_INFINITY;
        }
    }

    /**
     * The latest time as of which the list is known to have been current; negative infinity if
     * there is none.
     */
    public double confirmedAt() {
        return confirmedAt;
    }

    /** Whether endpoints may be sent to by the list held. */
    public boolean holds(double now) {
        return now < expiresAt();
    }

    public double expiresAt() {
        return currentUntil + usableAfter;
    }
}
