package sagepulley.accounts;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Ranks the causes of one volume's waiting over a period, largest first, and rates the confidence
 * in each. Charges to the same cause at several nodes, observed or estimated, are combined unless
 * the kind of cause is specific to a node.
 */
final class CauseRanking {
    /** With fewer operations, every cause has low confidence. */
    private static final long MIN_OPERATIONS = 20;

    private static final double MAJORITY = 0.5;

    /** For high confidence, the largest other wait is at most this fraction of the cause. */
    private static final double MAX_RUNNER_UP_FRACTION = 0.6;

    /** A cause with a smaller share of the waiting has low confidence. */
    private static final double MIN_SHARE = 0.3;

    /** For high confidence, at least this fraction of the cause's waiting was observed. */
    private static final double MIN_OBSERVED_SHARE = 0.7;

    /** Replaces zero as a divisor. */
    private static final double MIN_MILLIS = 1e-9;

    private static final class Sum {
        double waited;
        double observed;
        double lowerBound;
        double upperBound;
        double lostWeight;
        final Map<Integer, Double> waitedByNode = new TreeMap<>();

        void add(CauseCharges charges, int index, Cause cause) {
            waited += charges.waited(index);
            observed += cause.isEstimated() ? 0 : charges.waited(index);
            lowerBound += charges.lowerBound(index);
            upperBound += charges.upperBound(index);
            lostWeight += charges.lostWeight(index);
            waitedByNode.merge(cause.node(), charges.waited(index), Double::sum);
        }
    }

    private record Key(Cause.Kind kind, long volume, int node) {
        /**
         * Returns the key under which charges are combined. It includes the node only for causes
         * that are specific to a node.
         */
        static Key of(Cause cause) {
            boolean isNodeSpecific =
                    switch (cause.kind()) {
                        case SLOW_NODE, WARMING_UP_NODE, FAULT, NETWORK -> true;
                        default -> false;
                    };
            return new Key(cause.kind(), cause.volume(), isNodeSpecific ? cause.node() : 0);
        }

        /**
         * Returns the text that orders causes of equal size. It must not change, because reports
         * show that order.
         */
        String sortKey() {
            return "[" + kind.externalName() + ", " + volume + ", " + node + "]";
        }
    }

    private record Ranked(Key key, Sum sum) {
        boolean isWait() {
            return key.kind() != Cause.Kind.OWN_WORK;
        }
    }

    private record Period(double from, double to) {}

    private final Timeline<AccountWindow> timeline;
    private final Period period;
    private final long operations;
    private final double totalWaited;
    private final List<Ranked> ranked = new ArrayList<>();

    /**
     * Ranks the charges in a sum of windows.
     *
     * @param timeline the windows in which the worst one is found; null if there are none
     */
    CauseRanking(AccountWindow sum, Timeline<AccountWindow> timeline, double from, double to) {
        this.timeline = timeline;
        this.period = new Period(from, to);
        this.operations = sum.operations();
        Map<Key, Sum> sums = new LinkedHashMap<>();
        double total = 0;
        for (int i = 0; i < sum.causes.size(); i++) {
            Cause cause = Cause.of(sum.causes.key(i));
            sums.computeIfAbsent(Key.of(cause), key -> new Sum()).add(sum.causes, i, cause);
            total += cause.kind() == Cause.Kind.OWN_WORK ? 0 : sum.causes.waited(i);
        }
        this.totalWaited = Math.max(MIN_MILLIS, total);
        sums.forEach((key, keySum) -> ranked.add(new Ranked(key, keySum)));
        ranked.sort(
                Comparator.comparingDouble((Ranked cause) -> -cause.sum().waited)
                        .thenComparing(cause -> cause.key().sortKey()));
    }

    List<LatencyReport.CauseReport> reports() {
        return ranked.stream().map(this::report).toList();
    }

    private LatencyReport.CauseReport report(Ranked cause) {
        Sum sum = cause.sum();
        Map.Entry<Integer, Double> mainNode =
                sum.waitedByNode.entrySet().stream()
                        .max(Map.Entry.comparingByValue())
                        .orElseThrow();
        double observedShare = sum.observed / Math.max(MIN_MILLIS, sum.waited);
        Period worst = worstWindow(cause.key());
        return new LatencyReport.CauseReport(
                cause.key().kind(),
                cause.key().volume(),
                mainNode.getKey(),
                mainNode.getValue() / Math.max(MIN_MILLIS, sum.waited),
                sum.waited,
                sum.lowerBound,
                sum.upperBound,
                sum.waited / totalWaited,
                sum.lostWeight,
                observedShare,
                worst.from(),
                worst.to(),
                confidence(cause, observedShare));
    }

    private LatencyReport.Confidence confidence(Ranked cause, double observedShare) {
        double share = cause.sum().waited / totalWaited;
        if (operations < MIN_OPERATIONS || share < MIN_SHARE) {
            return LatencyReport.Confidence.LOW;
        }
        if (share >= MAJORITY
                && observedShare >= MIN_OBSERVED_SHARE
                && largestOther(cause) / totalWaited <= MAX_RUNNER_UP_FRACTION * share) {
            return LatencyReport.Confidence.HIGH;
        }
        return share >= MAJORITY || cause.sum().lowerBound / totalWaited >= MIN_SHARE
                ? LatencyReport.Confidence.MEDIUM
                : LatencyReport.Confidence.LOW;
    }

    @SuppressWarnings("ReferenceEquality") // excludes this cause by identity
    private double largestOther(Ranked cause) {
        double largest = 0;
        for (Ranked other : ranked) {
            if (other != cause && other.isWait()) {
                largest = Math.max(largest, other.sum().waited);
            }
        }
        return largest;
    }

    /** Returns the window with the highest charge to a cause relative to the window's length. */
    private Period worstWindow(Key key) {
        double highest = 0;
        Period worst = period;
        for (int level = 0; level < Timeline.LEVELS; level++) {
            double length = Timeline.WINDOW_MILLIS[level];
            for (Map.Entry<Long, AccountWindow> entry : timeline.level(level).entrySet()) {
                Period window = new Period(entry.getKey() * length, (entry.getKey() + 1) * length);
                if (window.to() < period.from() || window.from() > period.to()) {
                    continue;
                }
                double charged = charged(entry.getValue().causes, key);
                if (charged / length > highest) {
                    highest = charged / length;
                    worst = window;
                }
            }
        }
        return worst;
    }

    private static double charged(CauseCharges charges, Key key) {
        double charged = 0;
        for (int i = 0; i < charges.size(); i++) {
            boolean matches = Key.of(Cause.of(charges.key(i))).equals(key);
            charged += matches ? charges.waited(i) : 0;
        }
        return charged;
    }
}
