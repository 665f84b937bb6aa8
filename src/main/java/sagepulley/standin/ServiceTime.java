package sagepulley.standin;

import sagepulley.upstream.frame.StoreMessages;

/**
 * Computes the service time of operations at a stand-in node and defers a share of each write's
 * cost.
 */
final class ServiceTime {
    /** Window at the start of each interval in which a write is charged all deferred work. */
    private static final int DEFERRED_RUN_MILLIS = 10;

    private static final double NANOS_PER_MILLI = 1e6;

    private final NodeProfile profile;
    private double deferredMillis;

    ServiceTime(NodeProfile profile) {
        this.profile = profile;
    }

    /** Drops the deferred work, as a crash does. */
    void reset() {
        deferredMillis = 0;
    }

    /** Returns the service time of an operation at full capacity, in milliseconds of one slot. */
    double millis(StoreMessages.Send send) {
        boolean writes = send.kind().modifiesData();
        double millis =
                send.units() * (writes ? profile.writeCostMillis() : profile.readCostMillis());
        if (!writes || profile.deferredShare() <= 0) {
            return millis;
        }
        double deferred = millis * profile.deferredShare();
        millis -= deferred;
        deferredMillis += deferred;
        long nowMillis = (long) (System.nanoTime() / NANOS_PER_MILLI);
        if (Math.floorMod(nowMillis, (long) profile.deferIntervalMillis()) < DEFERRED_RUN_MILLIS) {
            millis += deferredMillis;
            deferredMillis = 0;
        }
        return millis;
    }
}
