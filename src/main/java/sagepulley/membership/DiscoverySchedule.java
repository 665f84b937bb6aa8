package sagepulley.membership;

import java.util.random.RandomGenerator;
import sagepulley.model.Deployment;

/**
 * When discovery is asked for the endpoint list, where it has to be asked: once at the start,
 * spread over the fleet, and anew after each failure, with a gap that doubles and is half chance.
 * Times are milliseconds on the monotonic clock.
 */
public final class DiscoverySchedule {
    private static final double FIRST_GAP = 300;

    /**
     * A discovery that many call at once, and that works on calls which nobody waits for any more,
     * must get to the end of them: gaps of 800 at most kept a fleet's queue full for ten seconds.
     * One and a half times the longest gap has to stay under the time in which a change counts as
     * notified, for a refused call renews the lease.
     */
    private static final double LONGEST_GAP = 3_000;

    private static final double GAP_GROWTH = 2;

    /** A call tells its end within this time; one that does not is followed by another. */
    private static final double CALL_PATIENCE = 2_500;

    /**
     * First calls: so far apart, all within a part of the time for it, and soon, for the lease
     * waits for them.
     */
    private static final double STAGGER = 250;

    private static final double SPREAD_SHARE = 0.8;
    private static final double LONGEST_SPREAD = 2_500;

    private final Deployment site;
    private final RandomGenerator random;
    private double nextAt = Double.POSITIVE_INFINITY;
    private double gap = FIRST_GAP;
    private boolean asked;

    public DiscoverySchedule(Deployment site, RandomGenerator random) {
        this.site = site;
        this.random = random;
    }

    /**
     * The process has begun; the last of many gateways must still have asked before a change counts
     * as notified.
     */
    public void started(double now) {
        if (site.mustPoll()) {
            double spread = Math.min(SPREAD_SHARE * site.pollInterval(), LONGEST_SPREAD);
            nextAt = now + site.gatewayIndex() * Math.min(STAGGER, spread / site.gatewayCount());
        }
    }

    /** A call was answered, or its watch lives on. */
    public void pollSucceeded() {
        if (asked) {
            gap = FIRST_GAP;
            nextAt = Double.POSITIVE_INFINITY;
        }
    }

    /** A call failed, or the watch ended. */
    public void pollFailed(double now) {
        if (site.mustPoll()) {
            nextAt = now + gap * (0.5 + random.nextDouble());
            gap = Math.min(gap * GAP_GROWTH, LONGEST_GAP);
        }
    }

    /** Discovery is elsewhere from now on, and nobody has been asked there. */
    public void addressChanged(double now) {
        gap = FIRST_GAP;
        nextAt = now + random.nextDouble() * FIRST_GAP;
    }

    /** Whether a call is due; then it counts as made. */
    public boolean takeDue(double now) {
        if (nextAt > now) {
            return false;
        }
        asked = true;
        nextAt = now + Math.max(site.pollInterval() / 2, CALL_PATIENCE);
        return true;
    }

    public double nextAt() {
        return nextAt;
    }
}
