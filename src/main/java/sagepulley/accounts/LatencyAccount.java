package sagepulley.accounts;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Accounts as they stood at a moment: of one gateway, or of several together. Times are those of
 * the clock on the wall, in milliseconds.
 */
public final class LatencyAccount {
    /** A cause is named with confidence from so many operations on. */
    private static final long ENOUGH = 20;

    private static final double MOST_OF_IT = 0.5;
    private static final double FAR_BEHIND = 0.6;
    private static final double ONE_OF_FEW = 0.3;
    private static final double NEARLY_ALL_SEEN = 0.7;

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

    /** Units that went to each node from a time to another, by volume, and of them the writes. */
    public Map<Integer, Map<Long, double[]>> flows(double from, double to) {
        Map<Integer, Map<Long, double[]>> all = new LinkedHashMap<>();
        flows.forEach(
                (node, line) -> {
                    NodeFlow sum = new NodeFlow();
                    line.sum(sum, from, to);
                    Map<Long, double[]> units = new TreeMap<>();
                    for (int i = 0; i < sum.units.size(); i++) {
                        Cause cause = Cause.of(sum.units.key(i));
                        double[] both = units.computeIfAbsent(cause.volume(), any -> new double[2]);
                        both[0] += sum.units.waited(i);
                        both[1] += cause.estimate() ? sum.units.waited(i) : 0;
                    }
                    if (!units.isEmpty()) {
                        all.put(node, units);
                    }
                });
        return all;
    }

    /** When it was last booked into; minus infinity if never. */
    public double lastBookedAt() {
        double newest = Double.NEGATIVE_INFINITY;
        for (Timeline<AccountWindow> line : volumes.values()) {
            for (int level = 0; level < Timeline.LEVELS; level++) {
                for (long number : line.level(level).keySet()) {
                    newest = Math.max(newest, (number + 1) * Timeline.LENGTH[level]);
                }
            }
        }
        return newest;
    }

    /**
     * What lies later than a time, by a clock that was set back since, is moved before it: whole
     * hours.
     */
    void noLaterThan(double wall) {
        volumes.values().forEach(line -> line.noLaterThan(wall));
        flows.values().forEach(line -> line.noLaterThan(wall));
    }

    /** Adds another's, whose clock was ahead by so many milliseconds. */
    void merge(LatencyAccount other, double ahead) {
        other.volumes.forEach(
                (volume, line) ->
                        volumes.computeIfAbsent(volume, any -> new Timeline<>(AccountWindow::new))
                                .merge(line, -ahead));
        other.flows.forEach(
                (node, line) ->
                        flows.computeIfAbsent(node, any -> new Timeline<>(NodeFlow::new))
                                .merge(line, -ahead));
        other.zones.forEach(zones::putIfAbsent);
    }

    /** One point of a volume's course: the middle of the stretch, and what it got in it. */
    public record Point(
            double wall, double length, long operations, long missed, double waited, double work) {}

    /** A volume's course from a time to another, oldest first, as fine as it is kept. */
    public List<Point> history(long volume, double from, double to) {
        List<Point> points = new ArrayList<>();
        Timeline<AccountWindow> line = volumes.get(volume);
        if (line == null) {
            return points;
        }
        for (int level = Timeline.LEVELS - 1; level >= 0; level--) {
            double length = Timeline.LENGTH[level];
            line.level(level)
                    .forEach(
                            (number, window) -> {
                                double middle = (number + 0.5) * length;
                                if (middle + length / 2 >= from && middle - length / 2 <= to) {
                                    double work =
                                            window.parts[LatencyComponent.NODE_WORK.ordinal()];
                                    double all = 0;
                                    for (double part : window.parts) {
                                        all += part;
                                    }
                                    long missed = 0;
                                    for (long part : window.missed) {
                                        missed += part;
                                    }
                                    points.add(
                                            new Point(
                                                    middle,
                                                    length,
                                                    window.operations(),
                                                    missed,
                                                    all - work,
                                                    work));
                                }
                            });
        }
        points.sort(Comparator.comparingDouble(Point::wall));
        return points;
    }

    /** A volume's account from a time to another, as fine as it is still kept. */
    public LatencyReport report(long volume, double from, double to) {
        AccountWindow sum = new AccountWindow();
        Timeline<AccountWindow> line = volumes.get(volume);
        if (line != null) {
            line.sum(sum, from, to);
        }
        Map<LatencyComponent, Double> parts = new LinkedHashMap<>();
        for (LatencyComponent part : LatencyComponent.values()) {
            if (sum.parts[part.ordinal()] > 0) {
                parts.put(part, sum.parts[part.ordinal()]);
            }
        }
        List<LatencyReport.TierReport> plan = new ArrayList<>();
        double units = 0;
        double lost = 0;
        long met = 0;
        long missed = 0;
        for (PlanTier part : PlanTier.values()) {
            int at = part.ordinal();
            if (sum.times[at] != null) {
                plan.add(
                        new LatencyReport.TierReport(
                                part,
                                sum.met[at],
                                sum.missed[at],
                                sum.units[at],
                                sum.lost[at],
                                sum.times[at].getValueAtPercentile(50) / AccountWindow.TICKS,
                                sum.times[at].getValueAtPercentile(99) / AccountWindow.TICKS,
                                sum.times[at].getMaxValue() / AccountWindow.TICKS));
            }
            units += sum.units[at];
            lost += sum.lost[at];
            met += sum.met[at];
            missed += sum.missed[at];
        }
        return new LatencyReport(
                volume,
                from,
                to,
                met + missed,
                met,
                missed,
                sum.declined,
                sum.scrapped,
                sum.left,
                units,
                lost,
                parts,
                plan,
                causes(sum, line, from, to));
    }

    /** The same cause at several nodes, seen or reckoned, summed. */
    private static final class Sum {
        double waited;
        double seen;
        double least;
        double most;
        double lost;
        final Map<Integer, Double> nodes = new TreeMap<>();
    }

    private record Who(Cause.Kind kind, long volume, int node) {
        /** A fault, a slow or a cold node is itself the cause; of others it is where they acted. */
        static Who of(Cause cause) {
            boolean ofNode =
                    switch (cause.kind()) {
                        case SLOW_NODE, WARMING_UP_NODE, FAULT, NETWORK -> true;
                        default -> false;
                    };
            return new Who(cause.kind(), cause.volume(), ofNode ? cause.node() : 0);
        }
    }

    private List<LatencyReport.CauseReport> causes(
            AccountWindow sum, Timeline<AccountWindow> line, double from, double to) {
        Map<Who, Sum> sums = new LinkedHashMap<>();
        double all = 0;
        for (int i = 0; i < sum.causes.size(); i++) {
            Cause cause = Cause.of(sum.causes.key(i));
            Sum one = sums.computeIfAbsent(Who.of(cause), any -> new Sum());
            one.waited += sum.causes.waited(i);
            one.seen += cause.estimate() ? 0 : sum.causes.waited(i);
            one.least += sum.causes.least(i);
            one.most += sum.causes.most(i);
            one.lost += sum.causes.lost(i);
            one.nodes.merge(cause.node(), sum.causes.waited(i), Double::sum);
            all += cause.kind() == Cause.Kind.OWN_WORK ? 0 : sum.causes.waited(i);
        }
        List<Map.Entry<Who, Sum>> ranked = new ArrayList<>(sums.entrySet());
        ranked.sort(
                Comparator.comparingDouble((Map.Entry<Who, Sum> entry) -> -entry.getValue().waited)
                        .thenComparing(entry -> entry.getKey().toString()));
        List<LatencyReport.CauseReport> causes = new ArrayList<>();
        double whole = Math.max(1e-9, all);
        for (Map.Entry<Who, Sum> entry : ranked) {
            Who who = entry.getKey();
            Sum one = entry.getValue();
            Map.Entry<Integer, Double> node =
                    one.nodes.entrySet().stream().max(Map.Entry.comparingByValue()).orElseThrow();
            double seen = one.seen / Math.max(1e-9, one.waited);
            double share = one.waited / whole;
            double next = 0;
            for (Map.Entry<Who, Sum> other : ranked) {
                boolean counts = other != entry && other.getKey().kind() != Cause.Kind.OWN_WORK;
                next = counts ? Math.max(next, other.getValue().waited) : next;
            }
            double[] worst = worst(line, who, from, to);
            causes.add(
                    new LatencyReport.CauseReport(
                            who.kind(),
                            who.volume(),
                            node.getKey(),
                            node.getValue() / Math.max(1e-9, one.waited),
                            one.waited,
                            one.least,
                            one.most,
                            share,
                            one.lost,
                            seen,
                            worst[0],
                            worst[1],
                            confidence(
                                    share,
                                    next / whole,
                                    seen,
                                    one.least / whole,
                                    sum.operations())));
        }
        return causes;
    }

    private static LatencyReport.Confidence confidence(
            double share, double next, double seen, double least, long operations) {
        if (operations < ENOUGH || share < ONE_OF_FEW) {
            return LatencyReport.Confidence.LOW;
        }
        if (share >= MOST_OF_IT && seen >= NEARLY_ALL_SEEN && next <= FAR_BEHIND * share) {
            return LatencyReport.Confidence.HIGH;
        }
        return share >= MOST_OF_IT || least >= ONE_OF_FEW
                ? LatencyReport.Confidence.MEDIUM
                : LatencyReport.Confidence.LOW;
    }

    /** From when to when the stretch ran in which a cause charged most for its length. */
    private static double[] worst(Timeline<AccountWindow> line, Who who, double from, double to) {
        double most = 0;
        double[] worst = {from, to};
        for (int level = 0; level < Timeline.LEVELS; level++) {
            double length = Timeline.LENGTH[level];
            for (Map.Entry<Long, AccountWindow> entry : line.level(level).entrySet()) {
                if ((entry.getKey() + 1) * length < from || entry.getKey() * length > to) {
                    continue;
                }
                CauseCharges charges = entry.getValue().causes;
                double here = 0;
                for (int i = 0; i < charges.size(); i++) {
                    here += Who.of(Cause.of(charges.key(i))).equals(who) ? charges.waited(i) : 0;
                }
                if (here / length > most) {
                    most = here / length;
                    worst = new double[] {entry.getKey() * length, (entry.getKey() + 1) * length};
                }
            }
        }
        return worst;
    }
}
