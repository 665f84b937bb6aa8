package sagepulley.standin;

import sagepulley.model.SlidingWindowCounter;

/**
 * Models the slow start of a stand-in node: its capacity grows from a share to all of it, and until
 * then the node collapses if too many units arrive within a window.
 */
final class SlowStart {
    private static final int WINDOW_SLOTS = 20;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double MILLIS_PER_SECOND = 1000;

    private final NodeProfile profile;
    private long startedAtNanos;
    private SlidingWindowCounter recentUnits;

    SlowStart(NodeProfile profile) {
        this.profile = profile;
    }

    /** Begins the slow start now; a node that starts warm has its full capacity at once. */
    void begin(boolean warm) {
        long ageNanos = warm ? (long) (profile.slowStartMillis() * 2 * NANOS_PER_MILLI) : 0;
        startedAtNanos = System.nanoTime() - ageNanos;
        recentUnits = new SlidingWindowCounter(profile.overloadWindowMillis(), WINDOW_SLOTS);
    }

    /** Returns the present capacity as a share of the warm capacity, 0 to 1. */
    double capacityShare() {
        double ageMillis = (System.nanoTime() - startedAtNanos) / NANOS_PER_MILLI;
        double share = profile.slowStartShare();
        return Math.min(1, share + (1 - share) * ageMillis / profile.slowStartMillis());
    }

    /** Counts arriving units and returns whether the node collapses under them. */
    boolean causesCollapse(double units) {
        double nowMillis = System.nanoTime() / NANOS_PER_MILLI;
        recentUnits.add(nowMillis, units);
        double share = capacityShare();
        double windowSeconds = profile.overloadWindowMillis() / MILLIS_PER_SECOND;
        double maxUnits =
                profile.overloadMultiple() * share * profile.unitsPerSecond() * windowSeconds;
        return share < 1
                && recentUnits.sumUnderestimate(nowMillis)
                        > Math.max(profile.slowStartUnits(), maxUnits);
    }
}
