package sagepulley.accounts;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Sums since the start, which only grow: by volume for those given (the rest together as number 0),
 * and over all volumes by latency component, cause and plan tier.
 */
public final class Totals {
    /**
     * Of one volume: operations within their latency objective and not, and of the latter those
     * rejected, abandoned and cancelled; units; milliseconds waited; priority weight lost.
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

    /** With sums of their own for these volumes; all others share number 0. */
    public Totals(Set<Long> summedVolumes) {
        summedVolumes.forEach(volume -> volumes.put(volume, new VolumeTotals()));
        volumes.put(0L, new VolumeTotals());
    }

    /** A volume's sums, or those of all that have none of their own. */
    public VolumeTotals of(long volume) {
        VolumeTotals totals = volumes.get(volume);
        return totals == null ? volumes.get(0L) : totals;
    }

    /** The volumes that have sums of their own, and 0. */
    public Set<Long> volumes() {
        return volumes.keySet();
    }

    /** Milliseconds spent in a component. */
    public double millisIn(LatencyComponent component) {
        return componentMillis[component.ordinal()];
    }

    /** Milliseconds of waiting charged to a kind of cause. */
    public double waitedMillis(Cause.Kind kind) {
        return causeMillis[kind.ordinal()];
    }

    /** Priority weight lost to a kind of cause. */
    public double lostWeight(Cause.Kind kind) {
        return causeLostWeight[kind.ordinal()];
    }

    /** Units of operations that ended, by plan tier. */
    public double units(PlanTier tier) {
        return tierUnits[tier.ordinal()];
    }

    /** Books an operation. */
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
