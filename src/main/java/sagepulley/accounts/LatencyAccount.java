package sagepulley.accounts;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Accounts as they stood at a moment: of one gateway, or of several together. Times are wall-clock
 * milliseconds.
 */
public final class LatencyAccount {
    final Map<Long, Timeline<AccountWindow>> volumes = new TreeMap<>();
    final Map<Integer, Timeline<NodeFlow>> flows = new TreeMap<>();
    final Map<Integer, Integer> zones = new TreeMap<>();

    /** The volumes that have an account, in order. */
    public List<Long> volumes() {
        return List.copyOf(volumes.keySet());
    }

    /** The zone of each node that was listed. */
    public Map<Integer, Integer> zones() {
        return zones;
    }

    /** Units that each node worked on from a time to another, by volume: all, and the writes. */
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
            double[] allAndWrites = units.computeIfAbsent(cause.volume(), any -> new double[2]);
            allAndWrites[0] += flow.units.waited(i);
            allAndWrites[1] += cause.isEstimated() ? flow.units.waited(i) : 0;
        }
        return units;
    }

    /** The end of the newest window; minus infinity if there is none. */
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
     * What lies after a time, by a clock that was set back since, is moved before it: whole hours.
     */
    void shiftBefore(double wallMillis) {
        volumes.values().forEach(timeline -> timeline.shiftBefore(wallMillis));
        flows.values().forEach(timeline -> timeline.shiftBefore(wallMillis));
    }

    /** Adds another's, whose clock was ahead by so many milliseconds. */
    void merge(LatencyAccount other, double clockOffsetMillis) {
        other.volumes.forEach(
                (volume, timeline) ->
                        volumes.computeIfAbsent(volume, any -> new Timeline<>(AccountWindow::new))
                                .merge(timeline, -clockOffsetMillis));
        other.flows.forEach(
                (node, timeline) ->
                        flows.computeIfAbsent(node, any -> new Timeline<>(NodeFlow::new))
                                .merge(timeline, -clockOffsetMillis));
        other.zones.forEach(zones::putIfAbsent);
    }

    /**
     * One point of a volume's history.
     *
     * @param wallMillis middle of the window
     * @param length milliseconds of the window
     * @param waited milliseconds that were no node's work
     * @param work milliseconds of nodes' work
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

    /** A volume's history from a time to another, oldest first, as fine as it is stored. */
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

    /** A volume's account from a time to another, as fine as it is still stored. */
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
