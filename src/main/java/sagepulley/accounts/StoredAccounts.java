package sagepulley.accounts;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.HistogramIterationValue;
import org.HdrHistogram.IntCountsHistogram;

/**
 * The sums of an account as plain values for storage. The names of the record components are those
 * of the stored file.
 */
public record StoredAccounts(List<StoredVolume> volumes, List<StoredNode> nodes) {
    /** The windows of a volume. */
    public record StoredVolume(long volume, List<StoredWindow> windows) {}

    /**
     * A window.
     *
     * @param level the level of the timeline
     * @param number the number of the window in its level
     * @param parts milliseconds by latency component
     * @param keys keys of causes
     * @param sums the wait, its lower and upper bound, and the lost weight for each key
     * @param ends operations rejected, abandoned and cancelled
     * @param met operations by plan tier, as are the following components
     * @param times pairs of a duration in ticks and a count
     */
    public record StoredWindow(
            int level,
            long number,
            double[] parts,
            long[] keys,
            double[] sums,
            long[] ends,
            long[] met,
            long[] missed,
            double[] units,
            double[] lost,
            long[][] times) {}

    /** The windows of a node, with the units that it executed. */
    public record StoredNode(int node, int zone, List<StoredFlow> flows) {}

    /** A window of a node. Keys and sums have the form of those of causes. */
    public record StoredFlow(int level, long number, long[] keys, double[] sums) {}

    private static final int MAX_DURATIONS = 10_000;
    private static final double VALUE_LIMIT = 1e18;

    // ---- encoding ----

    /** Returns the plain values of an account. */
    public static StoredAccounts of(LatencyAccount account) {
        List<StoredVolume> volumes = new ArrayList<>();
        account.volumes.forEach(
                (volume, timeline) -> {
                    List<StoredWindow> windows = new ArrayList<>();
                    for (int level = 0; level < Timeline.LEVELS; level++) {
                        for (Map.Entry<Long, AccountWindow> entry :
                                timeline.level(level).entrySet()) {
                            windows.add(window(level, entry.getKey(), entry.getValue()));
                        }
                    }
                    volumes.add(new StoredVolume(volume, windows));
                });
        List<StoredNode> nodes = new ArrayList<>();
        account.flows.forEach(
                (node, timeline) -> {
                    List<StoredFlow> flows = new ArrayList<>();
                    for (int level = 0; level < Timeline.LEVELS; level++) {
                        for (Map.Entry<Long, NodeFlow> entry : timeline.level(level).entrySet()) {
                            CauseCharges units = entry.getValue().units;
                            flows.add(
                                    new StoredFlow(
                                            level, entry.getKey(), keys(units), sums(units)));
                        }
                    }
                    nodes.add(new StoredNode(node, account.zones.getOrDefault(node, 0), flows));
                });
        return new StoredAccounts(volumes, nodes);
    }

    private static StoredWindow window(int level, long number, AccountWindow window) {
        long[][] durations = new long[AccountWindow.TIERS][0];
        for (int tier = 0; tier < AccountWindow.TIERS; tier++) {
            if (window.durations[tier] != null) {
                durations[tier] = durations(window.durations[tier]);
            }
        }
        return new StoredWindow(
                level,
                number,
                window.components,
                keys(window.causes),
                sums(window.causes),
                new long[] {window.rejected, window.abandoned, window.cancelled},
                window.met,
                window.missed,
                window.units,
                window.lostWeight,
                durations);
    }

    private static long[] durations(IntCountsHistogram histogram) {
        List<Long> pairs = new ArrayList<>();
        for (HistogramIterationValue value : histogram.recordedValues()) {
            pairs.add(value.getValueIteratedTo());
            pairs.add(value.getCountAddedInThisIterationStep());
        }
        return pairs.stream().mapToLong(Long::longValue).toArray();
    }

    private static long[] keys(CauseCharges charges) {
        long[] keys = new long[charges.size()];
        for (int i = 0; i < keys.length; i++) {
            keys[i] = charges.key(i);
        }
        return keys;
    }

    private static double[] sums(CauseCharges charges) {
        double[] sums = new double[CauseCharges.SUMS * charges.size()];
        for (int i = 0; i < charges.size(); i++) {
            sums[CauseCharges.SUMS * i] = charges.waited(i);
            sums[CauseCharges.SUMS * i + 1] = charges.lowerBound(i);
            sums[CauseCharges.SUMS * i + 2] = charges.upperBound(i);
            sums[CauseCharges.SUMS * i + 3] = charges.lostWeight(i);
        }
        return sums;
    }

    // ---- decoding ----

    /**
     * Returns the account of these plain values.
     *
     * @throws IllegalArgumentException if a value is missing or out of range
     */
    public LatencyAccount toAccount() {
        LatencyAccount account = new LatencyAccount();
        for (StoredVolume volume : requireComplete(volumes)) {
            Timeline<AccountWindow> timeline = new Timeline<>(AccountWindow::new);
            for (StoredWindow window : requireComplete(volume.windows)) {
                readWindow(
                        window,
                        timeline.getOrCreate(requireValidLevel(window.level), window.number));
            }
            if (volume.volume < 0 || account.volumes.put(volume.volume, timeline) != null) {
                throw new IllegalArgumentException(
                        "volume " + volume.volume + " is negative or occurs twice");
            }
        }
        for (StoredNode node : requireComplete(nodes)) {
            Timeline<NodeFlow> timeline = new Timeline<>(NodeFlow::new);
            for (StoredFlow flow : requireComplete(node.flows)) {
                CauseCharges units =
                        timeline.getOrCreate(requireValidLevel(flow.level), flow.number).units;
                readCharges(flow.keys, flow.sums, units, NodeFlow.MAX_VOLUMES);
            }
            account.flows.put(node.node, timeline);
            account.zones.put(node.node, node.zone);
        }
        return account;
    }

    private static <T> List<T> requireComplete(List<T> list) {
        if (list == null || list.contains(null)) {
            throw new IllegalArgumentException(
                    "a list of volumes, nodes or windows is missing or contains null");
        }
        return list;
    }

    private static int requireValidLevel(int level) {
        if (level < 0 || level >= Timeline.LEVELS) {
            throw new IllegalArgumentException(
                    "unknown timeline level " + level + ", expected 0 to " + (Timeline.LEVELS - 1));
        }
        return level;
    }

    private static double requireValidValue(double value) {
        if (!(value >= 0 && value < VALUE_LIMIT)) {
            throw new IllegalArgumentException(
                    "value " + value + " is out of range, expected 0 to less than " + VALUE_LIMIT);
        }
        return value;
    }

    private static void readWindow(StoredWindow from, AccountWindow to) {
        copy(from.parts, to.components);
        readCharges(from.keys, from.sums, to.causes, AccountWindow.MAX_CAUSES);
        long[] ends = new long[3];
        copy(from.ends, ends);
        to.rejected = ends[0];
        to.abandoned = ends[1];
        to.cancelled = ends[2];
        copy(from.met, to.met);
        copy(from.missed, to.missed);
        copy(from.units, to.units);
        copy(from.lost, to.lostWeight);
        if (from.times == null || from.times.length != AccountWindow.TIERS) {
            throw new IllegalArgumentException(
                    "durations by plan tier are missing or do not have "
                            + AccountWindow.TIERS
                            + " tiers");
        }
        for (int tier = 0; tier < AccountWindow.TIERS; tier++) {
            readDurations(from.times[tier], to, tier);
        }
    }

    private static void readDurations(long[] pairs, AccountWindow to, int tier) {
        if (pairs == null || pairs.length % 2 != 0 || pairs.length > 2 * MAX_DURATIONS) {
            throw new IllegalArgumentException(
                    "durations of plan tier "
                            + tier
                            + " are missing, not pairs of ticks and count, or more than "
                            + MAX_DURATIONS);
        }
        for (int i = 0; i < pairs.length; i += 2) {
            long ticks = pairs[i];
            long count = pairs[i + 1];
            if (ticks < 0
                    || ticks > AccountWindow.MAX_TICKS * 2
                    || count < 0
                    || count > Integer.MAX_VALUE) {
                throw new IllegalArgumentException(
                        "duration of " + ticks + " ticks with count " + count + " is out of range");
            }
            to.durations(tier).recordValueWithCount(ticks, count);
        }
    }

    private static void copy(double[] from, double[] to) {
        if (from == null || from.length != to.length) {
            throw new IllegalArgumentException(
                    "array of values is missing or does not have " + to.length + " elements");
        }
        for (int i = 0; i < to.length; i++) {
            to[i] = requireValidValue(from[i]);
        }
    }

    private static void copy(long[] from, long[] to) {
        if (from == null || from.length != to.length) {
            throw new IllegalArgumentException(
                    "array of counts is missing or does not have " + to.length + " elements");
        }
        for (int i = 0; i < to.length; i++) {
            if (from[i] < 0) {
                throw new IllegalArgumentException(
                        "count " + from[i] + " is negative, expected 0 or more");
            }
            to[i] = from[i];
        }
    }

    private static void readCharges(long[] keys, double[] sums, CauseCharges to, int maxSize) {
        if (keys == null
                || sums == null
                || keys.length > maxSize
                || sums.length != CauseCharges.SUMS * keys.length) {
            throw new IllegalArgumentException(
                    "keys or sums of causes are missing, there are more than "
                            + maxSize
                            + " keys, or there are not "
                            + CauseCharges.SUMS
                            + " sums for each key");
        }
        for (int i = 0; i < keys.length; i++) {
            if (!Cause.isValidKey(keys[i])) {
                throw new IllegalArgumentException("unknown cause key " + keys[i]);
            }
            to.add(
                    keys[i],
                    requireValidValue(sums[CauseCharges.SUMS * i]),
                    requireValidValue(sums[CauseCharges.SUMS * i + 1]),
                    requireValidValue(sums[CauseCharges.SUMS * i + 2]),
                    requireValidValue(sums[CauseCharges.SUMS * i + 3]));
        }
    }
}
