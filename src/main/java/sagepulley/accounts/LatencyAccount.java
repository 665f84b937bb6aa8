package sagepulley.accounts;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The accounts of one gateway, or of several merged, at one point in time. Times are wall-clock
 * milliseconds.
 */
public final class LatencyAccount {
    final Map<Long, Timeline<AccountWindow>> volumes = new TreeMap<>();
    final Map<Integer, Timeline<NodeFlow>> flows = new TreeMap<>();
    final Map<Integer, Integer> zones = new TreeMap<>();

    /** Returns the volumes that have an account, in ascending order. */
    public List<Long> volumes() {
        return List.copyOf(volumes.keySet());
    }

    /** Returns the zone of each listed node. */
    public Map<Integer, Integer> zones() {
        return zones;
    }

    /**
     * Returns the units that each node executed in a period, by node and volume. Element 0 is the
     * total, element 1 the units of writes.
     */
    public Map<Integer, Map<Long, double[]>> flows(double from, double to) {
        Map<Integer, Map<Long, double[]>> flowsByNode = new LinkedHashMap<>();
        flows.forEach(
                (node, timeline) -> {
                    NodeFlow sum = new NodeFlow();
                    timeline.sum(sum, from, to);
                    Map<Long, double[]> units = unitsByVolume(sum);
                    if (!units.isEmpty()) {
                        flowsByNode.put(node, units);
                    }
                });
        return flowsByNode;
    }

    private static Map<Long, double[]> unitsByVolume(NodeFlow flow) {
        Map<Long, double[]> units = new TreeMap<>();
        for (int i = 0; i < flow.units.size(); i++) {
            Cause cause = Cause.of(flow.units.key(i));
            double[] allAndWrites = units.computeIfAbsent(cause.volume(), volume -> new double[2]);
            allAndWrites[0] += flow.units.waited(i);
            allAndWrites[1] += cause.isEstimated() ? flow.units.waited(i) : 0;
        }
        return units;
    }

    /**
     * Returns the end of the newest window of any volume, or negative infinity if there is none.
     */
    public double newestWindowEnd() {
        double newest = Double.NEGATIVE_INFINITY;
        for (Timeline<AccountWindow> timeline : volumes.values()) {
            for (int level = 0; level < Timeline.LEVELS; level++) {
                for (long number : timeline.level(level).keySet()) {
                    newest = Math.max(newest, (number + 1) * Timeline.WINDOW_MILLIS[level]);
                }
            }
        }
        return newest;
    }

    /**
     * Shifts the windows of each timeline back by whole hours if its newest starts after the given
     * time, as happens when the clock was set back.
     */
    void shiftBefore(double wallMillis) {
        volumes.values().forEach(timeline -> timeline.shiftBefore(wallMillis));
        flows.values().forEach(timeline -> timeline.shiftBefore(wallMillis));
    }

    /** Adds the windows of an account whose clock was ahead by the given milliseconds. */
    void merge(LatencyAccount other, double clockOffsetMillis) {
        other.volumes.forEach(
                (volume, timeline) ->
                        volumes.computeIfAbsent(volume, key -> new Timeline<>(AccountWindow::new))
                                .merge(timeline, -clockOffsetMillis));
        other.flows.forEach(
                (node, timeline) ->
                        flows.computeIfAbsent(node, key -> new Timeline<>(NodeFlow::new))
                                .merge(timeline, -clockOffsetMillis));
        other.zones.forEach(zones::putIfAbsent);
    }

    /**
     * One point of the history of a volume.
     *
     * @param wallMillis the middle of the window
     * @param length the length of the window in milliseconds
     * @param waited milliseconds outside of execution by nodes
     * @param work milliseconds of execution by nodes
     */
    public record Point(
            double wallMillis,
            double length,
            long operations,
            long missed,
            double waited,
            double work) {
        private static Point of(AccountWindow window, double middle, double length) {
            double work = window.components[LatencyComponent.NODE_WORK.ordinal()];
            double total = 0;
            for (double component : window.components) {
                total += component;
            }
            long missed = 0;
            for (long missedInTier : window.missed) {
                missed += missedInTier;
            }
            return new Point(middle, length, window.operations(), missed, total - work, work);
        }
    }

    /** Returns the history of a volume over a period, oldest first, at the stored resolution. */
    public List<Point> history(long volume, double from, double to) {
        List<Point> points = new ArrayList<>();
        Timeline<AccountWindow> timeline = volumes.get(volume);
        if (timeline == null) {
            return points;
        }
        for (int level = Timeline.LEVELS - 1; level >= 0; level--) {
            double length = Timeline.WINDOW_MILLIS[level];
            timeline.level(level)
                    .forEach(
                            (number, window) -> {
                                double middle = (number + 0.5) * length;
                                if (middle + length / 2 >= from && middle - length / 2 <= to) {
                                    points.add(Point.of(window, middle, length));
                                }
                            });
        }
        points.sort(Comparator.comparingDouble(Point::wallMillis));
        return points;
    }

    /** Returns the account of a volume over a period, at the stored resolution. */
    public LatencyReport report(long volume, double from, double to) {
        AccountWindow sum = new AccountWindow();
        Timeline<AccountWindow> timeline = volumes.get(volume);
        if (timeline != null) {
            timeline.sum(sum, from, to);
        }
        double units = 0;
        double lostWeight = 0;
        long met = 0;
        long missed = 0;
        for (int tier = 0; tier < AccountWindow.TIERS; tier++) {
            units += sum.units[tier];
            lostWeight += sum.lostWeight[tier];
            met += sum.met[tier];
            missed += sum.missed[tier];
        }
        return new LatencyReport(
                volume,
                from,
                to,
                met + missed,
                met,
                missed,
                sum.rejected,
                sum.abandoned,
                sum.cancelled,
                units,
                lostWeight,
                components(sum),
                tiers(sum),
                new CauseRanking(sum, timeline, from, to).reports());
    }

    private static Map<LatencyComponent, Double> components(AccountWindow sum) {
        Map<LatencyComponent, Double> components = new LinkedHashMap<>();
        for (LatencyComponent component : LatencyComponent.values()) {
            if (sum.components[component.ordinal()] > 0) {
                components.put(component, sum.components[component.ordinal()]);
            }
        }
        return components;
    }

    private static List<LatencyReport.TierReport> tiers(AccountWindow sum) {
        List<LatencyReport.TierReport> tiers = new ArrayList<>();
        for (PlanTier tier : PlanTier.values()) {
            int index = tier.ordinal();
            if (sum.durations[index] != null) {
                tiers.add(
                        new LatencyReport.TierReport(
                                tier,
                                sum.met[index],
                                sum.missed[index],
                                sum.units[index],
                                sum.lostWeight[index],
                                sum.durations[index].getValueAtPercentile(50)
                                        / AccountWindow.TICKS_PER_MILLI,
                                sum.durations[index].getValueAtPercentile(99)
                                        / AccountWindow.TICKS_PER_MILLI,
                                sum.durations[index].getMaxValue()
                                        / AccountWindow.TICKS_PER_MILLI));
            }
        }
        return tiers;
    }
}
