package sagepulley.accounts;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Totals since the start, which only grow: by volume for the given volumes (the others together as
 * number 0), and over all volumes by latency component, cause and plan tier.
 */
public final class Totals {
    /**
     * The totals of one volume. Operations within their latency objective count as met, all others
     * as missed; of the latter some were rejected, abandoned or cancelled.
     */
    public static final class VolumeTotals {
        public long met;
        public long missed;
        public long rejected;
        public long abandoned;
        public long cancelled;
        public double units;
        public double waitedMillis;
        public double lostWeight;

        private void add(EndedOperation operation) {
            if (operation.metObjective()) {
                met++;
            } else {
                missed++;
            }
            units += operation.timer().units;
            lostWeight += operation.lostWeight();
            switch (operation.end()) {
                case REJECTED -> rejected++;
                case ABANDONED -> abandoned++;
                case CANCELLED -> cancelled++;
                case SERVED -> {}
            }
            waitedMillis += operation.timer().waitedMillis();
        }

        private void copyFrom(VolumeTotals other) {
            met = other.met;
            missed = other.missed;
            rejected = other.rejected;
            abandoned = other.abandoned;
            cancelled = other.cancelled;
            units = other.units;
            waitedMillis = other.waitedMillis;
            lostWeight = other.lostWeight;
        }
    }

    private final Map<Long, VolumeTotals> volumes = new LinkedHashMap<>();
    private final double[] componentMillis = new double[LatencyComponent.values().length];
    private final double[] causeMillis = new double[Cause.Kind.values().length];
    private final double[] causeLostWeight = new double[Cause.Kind.values().length];
    private final double[] tierUnits = new double[PlanTier.values().length];

    /** Creates totals with separate sums for the given volumes. All others share number 0. */
    public Totals(Set<Long> volumesWithTotals) {
        volumesWithTotals.forEach(volume -> volumes.put(volume, new VolumeTotals()));
        volumes.put(0L, new VolumeTotals());
    }

    /** Returns the totals of a volume, or the shared ones if it has none. */
    public VolumeTotals of(long volume) {
        VolumeTotals totals = volumes.get(volume);
        return totals == null ? volumes.get(0L) : totals;
    }

    /** Returns the volumes with separate totals, and 0. */
    public Set<Long> volumes() {
        return volumes.keySet();
    }

    /** Returns the milliseconds spent in a component. */
    public double millisIn(LatencyComponent component) {
        return componentMillis[component.ordinal()];
    }

    /** Returns the milliseconds charged to a kind of cause. */
    public double waitedMillis(Cause.Kind kind) {
        return causeMillis[kind.ordinal()];
    }

    /** Returns the priority weight lost to a kind of cause. */
    public double lostWeight(Cause.Kind kind) {
        return causeLostWeight[kind.ordinal()];
    }

    /** Returns the units of ended operations in a plan tier. */
    public double units(PlanTier tier) {
        return tierUnits[tier.ordinal()];
    }

    /** Adds an operation that ended. */
    void add(EndedOperation operation) {
        OperationTimer timer = operation.timer();
        for (int i = 0; i < timer.stepCount(); i++) {
            componentMillis[timer.step(i).ordinal()] += timer.stepMillis(i);
        }
        CauseCharges charges = timer.charges;
        double total = charges.totalWaited();
        for (int i = 0; i < charges.size(); i++) {
            int kind = Cause.kind(charges.key(i)).ordinal();
            causeMillis[kind] += charges.waited(i);
            causeLostWeight[kind] += charges.shareOf(operation.lostWeight(), i, total);
        }
        tierUnits[operation.tier().ordinal()] += timer.units;
        of(timer.volume).add(operation);
    }

    Totals copy() {
        Totals copy = new Totals(volumes.keySet());
        volumes.forEach((volume, sums) -> copy.volumes.get(volume).copyFrom(sums));
        System.arraycopy(componentMillis, 0, copy.componentMillis, 0, componentMillis.length);
        System.arraycopy(causeMillis, 0, copy.causeMillis, 0, causeMillis.length);
        System.arraycopy(causeLostWeight, 0, copy.causeLostWeight, 0, causeLostWeight.length);
        System.arraycopy(tierUnits, 0, copy.tierUnits, 0, tierUnits.length);
        return copy;
    }
}
