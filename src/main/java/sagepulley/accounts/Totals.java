package sagepulley.accounts;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Sums since the start, which only grow: by volume for those it is told of (the rest together as
 * number 0), and over all volumes by part of the time and by kind of cause.
 */
public final class Totals {
    /**
     * Of one volume: operations by their end, those in time, units, milliseconds waited and utility
     * lost.
     */
    public static final class OfVolume {
        public long met;
        public long missed;
        public long rejected;
        public long abandoned;
        public long cancelled;
        public double units;
        public double waitedMillis;
        public double lostWeight;
    }

    private final Map<Long, OfVolume> volumes = new LinkedHashMap<>();
    private final double[] parts = new double[LatencyComponent.values().length];
    private final double[] waitedMillis = new double[Cause.Kind.values().length];
    private final double[] lostWeight = new double[Cause.Kind.values().length];
    private final double[] units = new double[PlanTier.values().length];

    /** With sums of their own for these volumes; all others share number 0. */
    public Totals(Set<Long> own) {
        own.forEach(volume -> volumes.put(volume, new OfVolume()));
        volumes.put(0L, new OfVolume());
    }

    /** A volume's sums, or those of all that have none of their own. */
    public OfVolume of(long volume) {
        OfVolume found = volumes.get(volume);
        return found == null ? volumes.get(0L) : found;
    }

    /** The volumes that have sums of their own, and 0. */
    public Set<Long> volumes() {
        return volumes.keySet();
    }

    /** Milliseconds that went to a part. */
    public double millisIn(LatencyComponent part) {
        return parts[part.ordinal()];
    }

    /** Milliseconds of waiting charged to a kind of cause, and utility lost to it. */
    public double waitedMillis(Cause.Kind kind) {
        return waitedMillis[kind.ordinal()];
    }

    public double lostWeight(Cause.Kind kind) {
        return lostWeight[kind.ordinal()];
    }

    /** Units of operations that ended, by part of the plan. */
    public double units(PlanTier part) {
        return units[part.ordinal()];
    }

    void spent(LatencyComponent part, double length) {
        parts[part.ordinal()] += length;
    }

    void caused(Cause.Kind kind, double length, double utility) {
        waitedMillis[kind.ordinal()] += length;
        lostWeight[kind.ordinal()] += utility;
    }

    void ended(PlanTier part, double amount) {
        units[part.ordinal()] += amount;
    }

    Totals copy() {
        Totals copy = new Totals(volumes.keySet());
        volumes.forEach(
                (volume, mine) -> {
                    OfVolume its = copy.volumes.get(volume);
                    its.met = mine.met;
                    its.missed = mine.missed;
                    its.rejected = mine.rejected;
                    its.abandoned = mine.abandoned;
                    its.cancelled = mine.cancelled;
                    its.units = mine.units;
                    its.waitedMillis = mine.waitedMillis;
                    its.lostWeight = mine.lostWeight;
                });
        System.arraycopy(parts, 0, copy.parts, 0, parts.length);
        System.arraycopy(waitedMillis, 0, copy.waitedMillis, 0, waitedMillis.length);
        System.arraycopy(lostWeight, 0, copy.lostWeight, 0, lostWeight.length);
        System.arraycopy(units, 0, copy.units, 0, units.length);
        return copy;
    }
}
