package sagepulley.accounts;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.HistogramIterationValue;

/** A book's figures as plain values, to be written down and read again. */
public record StoredAccounts(List<StoredVolume> volumes, List<StoredNode> nodes) {
    /** A volume's stretches. */
    public record StoredVolume(long volume, List<StoredWindow> windows) {}

    /**
     * A stretch: which, time by part, causes (keys, and four sums each), counts, and times by part
     * of the plan.
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

    /** A node's stretches of units worked on. */
    public record StoredNode(int node, int zone, List<StoredFlow> flows) {}

    /** One of them. */
    public record StoredFlow(int level, long number, long[] keys, double[] sums) {}

    private static final int MOST_STRETCHES = 10_000;

    /** A book's plain values. */
    public static StoredAccounts of(LatencyAccount book) {
        List<StoredVolume> volumes = new ArrayList<>();
        book.volumes.forEach(
                (volume, line) -> {
                    List<StoredWindow> windows = new ArrayList<>();
                    for (int level = 0; level < Timeline.LEVELS; level++) {
                        for (Map.Entry<Long, AccountWindow> entry : line.level(level).entrySet()) {
                            windows.add(window(level, entry.getKey(), entry.getValue()));
                        }
                    }
                    volumes.add(new StoredVolume(volume, windows));
                });
        List<StoredNode> nodes = new ArrayList<>();
        book.flows.forEach(
                (node, line) -> {
                    List<StoredFlow> flows = new ArrayList<>();
                    for (int level = 0; level < Timeline.LEVELS; level++) {
                        for (Map.Entry<Long, NodeFlow> entry : line.level(level).entrySet()) {
                            CauseCharges units = entry.getValue().units;
                            flows.add(
                                    new StoredFlow(
                                            level, entry.getKey(), keys(units), sums(units)));
                        }
                    }
                    nodes.add(new StoredNode(node, book.zones.getOrDefault(node, 0), flows));
                });
        return new StoredAccounts(volumes, nodes);
    }

    private static StoredWindow window(int level, long number, AccountWindow window) {
        long[][] times = new long[AccountWindow.PARTS][0];
        for (int part = 0; part < AccountWindow.PARTS; part++) {
            if (window.times[part] != null) {
                List<Long> pairs = new ArrayList<>();
                for (HistogramIterationValue value : window.times[part].recordedValues()) {
                    pairs.add(value.getValueIteratedTo());
                    pairs.add(value.getCountAddedInThisIterationStep());
                }
                times[part] = pairs.stream().mapToLong(Long::longValue).toArray();
            }
        }
        return new StoredWindow(
                level,
                number,
                window.parts,
                keys(window.causes),
                sums(window.causes),
                new long[] {window.declined, window.scrapped, window.left},
                window.met,
                window.missed,
                window.units,
                window.lost,
                times);
    }

    private static long[] keys(CauseCharges charges) {
        long[] keys = new long[charges.size()];
        for (int i = 0; i < keys.length; i++) {
            keys[i] = charges.key(i);
        }
        return keys;
    }

    private static double[] sums(CauseCharges charges) {
        double[] sums = new double[4 * charges.size()];
        for (int i = 0; i < charges.size(); i++) {
            sums[4 * i] = charges.waited(i);
            sums[4 * i + 1] = charges.least(i);
            sums[4 * i + 2] = charges.most(i);
            sums[4 * i + 3] = charges.lost(i);
        }
        return sums;
    }

    /**
     * The book again.
     *
     * @throws IllegalArgumentException if a figure can be no account's
     */
    public LatencyAccount toAccount() {
        LatencyAccount book = new LatencyAccount();
        for (StoredVolume volume : all(volumes)) {
            Timeline<AccountWindow> line = new Timeline<>(AccountWindow::new);
            for (StoredWindow kept : all(volume.windows)) {
                read(kept, line.put(level(kept.level), kept.number));
            }
            if (volume.volume < 0 || book.volumes.put(volume.volume, line) != null) {
                throw new IllegalArgumentException(
                        "volume " + volume.volume + " is no volume, or there twice");
            }
        }
        for (StoredNode node : all(nodes)) {
            Timeline<NodeFlow> line = new Timeline<>(NodeFlow::new);
            for (StoredFlow flow : all(node.flows)) {
                charges(
                        line.put(level(flow.level), flow.number).units,
                        flow.keys,
                        flow.sums,
                        NodeFlow.MOST_VOLUMES);
            }
            book.flows.put(node.node, line);
            book.zones.put(node.node, node.zone);
        }
        return book;
    }

    private static <T> List<T> all(List<T> list) {
        if (list == null || list.contains(null)) {
            throw new IllegalArgumentException("a list is missing or has gaps");
        }
        return list;
    }

    private static int level(int level) {
        if (level < 0 || level >= Timeline.LEVELS) {
            throw new IllegalArgumentException("level " + level + " is none");
        }
        return level;
    }

    private static void read(StoredWindow from, AccountWindow to) {
        copy(from.parts, to.parts);
        charges(to.causes, from.keys, from.sums, AccountWindow.MOST_CAUSES);
        long[] ends = new long[3];
        copy(from.ends, ends);
        to.declined = ends[0];
        to.scrapped = ends[1];
        to.left = ends[2];
        copy(from.met, to.met);
        copy(from.missed, to.missed);
        copy(from.units, to.units);
        copy(from.lost, to.lost);
        if (from.times == null || from.times.length != AccountWindow.PARTS) {
            throw new IllegalArgumentException("times by part of the plan are missing");
        }
        for (int part = 0; part < AccountWindow.PARTS; part++) {
            long[] pairs = from.times[part];
            if (pairs == null || pairs.length % 2 != 0 || pairs.length > 2 * MOST_STRETCHES) {
                throw new IllegalArgumentException("times are no pairs of value and count");
            }
            for (int i = 0; i < pairs.length; i += 2) {
                if (pairs[i] < 0
                        || pairs[i] > AccountWindow.LONGEST_TICK * 2
                        || pairs[i + 1] < 0
                        || pairs[i + 1] > Integer.MAX_VALUE) {
                    throw new IllegalArgumentException("a time of " + pairs[i] + " can be none");
                }
                to.times(part).recordValueWithCount(pairs[i], pairs[i + 1]);
            }
        }
    }

    private static void copy(double[] from, double[] to) {
        if (from == null || from.length != to.length) {
            throw new IllegalArgumentException("so many figures are none of ours");
        }
        for (int i = 0; i < to.length; i++) {
            to[i] = figure(from[i]);
        }
    }

    private static void copy(long[] from, long[] to) {
        if (from == null || from.length != to.length) {
            throw new IllegalArgumentException("so many counts are none of ours");
        }
        for (int i = 0; i < to.length; i++) {
            if (from[i] < 0) {
                throw new IllegalArgumentException("a count of " + from[i] + " can be none");
            }
            to[i] = from[i];
        }
    }

    private static double figure(double value) {
        if (!(value >= 0 && value < 1e18)) {
            throw new IllegalArgumentException("a figure of " + value + " can be none");
        }
        return value;
    }

    private static void charges(CauseCharges to, long[] keys, double[] sums, int most) {
        if (keys == null || sums == null || keys.length > most || sums.length != 4 * keys.length) {
            throw new IllegalArgumentException("causes and their sums do not go together");
        }
        for (int i = 0; i < keys.length; i++) {
            if (!Cause.isKey(keys[i])) {
                throw new IllegalArgumentException("cause " + keys[i] + " is none");
            }
            to.add(
                    keys[i],
                    figure(sums[4 * i]),
                    figure(sums[4 * i + 1]),
                    figure(sums[4 * i + 2]),
                    figure(sums[4 * i + 3]));
        }
    }
}
