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
        public long declined;
        public long scrapped;
        public long left;
        public double units;
        public double waited;
        public double utilityLost;
    }

    private final Map<Long, OfVolume> volumes = new LinkedHashMap<>();
    private final double[] parts = new double[LatencyComponent.values().length];
    private final double[] waited = new double[Cause.Kind.values().length];
    private final double[] lost = new double[Cause.Kind.values().length];
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
    public double part(LatencyComponent part) {
        return parts[part.ordinal()];
    }

    /** Milliseconds of waiting charged to a kind of cause, and utility lost to it. */
    public double waited(Cause.Kind kind) {
        return waited[kind.ordinal()];
    }

    public double lost(Cause.Kind kind) {
        return lost[kind.ordinal()];
    }

    /** Units of operations that ended, by part of the plan. */
    public double units(PlanTier part) {
        return units[part.ordinal()];
    }

    void spent(LatencyComponent part, double length) {
        parts[part.ordinal()] += length;
    }

    void caused(Cause.Kind kind, double length, double utility) {
        waited[kind.ordinal()] += length;
        lost[kind.ordinal()] += utility;
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
                    its.declined = mine.declined;
                    its.scrapped = mine.scrapped;
                    its.left = mine.left;
                    its.units = mine.units;
                    its.waited = mine.waited;
                    its.utilityLost = mine.utilityLost;
                });
        System.arraycopy(parts, 0, copy.parts, 0, parts.length);
        System.arraycopy(waited, 0, copy.waited, 0, waited.length);
        System.arraycopy(lost, 0, copy.lost, 0, lost.length);
        System.arraycopy(units, 0, copy.units, 0, units.length);
        return copy;
    }
}
