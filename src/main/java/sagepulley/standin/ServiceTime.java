package sagepulley.standin;

import sagepulley.upstream.frame.StoreMessages;

/** How long a stand-in node works on an operation, and which part of its writes it puts off. */
final class ServiceTime {
    /** Deferred work runs at the start of each interval, for operations that come so soon. */
    private static final int DEFERRED_RUN_MILLIS = 10;

    private static final double NANOS_PER_MILLI = 1e6;

    private final NodeProfile profile;
    private double deferredMillis;

    ServiceTime(NodeProfile profile) {
        this.profile = profile;
    }

    /** Forgets the work that was put off, as a crash does. */
    void reset() {
        deferredMillis = 0;
    }

    /** Milliseconds of one slot for an operation at full capacity. */
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
