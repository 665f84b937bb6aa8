package sagepulley.accounts;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Merges the accounts of several gateways.
 *
 * <p>Gateways are notified of a version of the endpoint list at nearly the same time, so the
 * notification times of a common version give the offset between two clocks. Load that one gateway
 * can charge only to other gateways is attributed to volumes by the accounts of those gateways.
 */
public final class FleetMerger {
    /**
     * The account of one gateway.
     *
     * @param versionNotifiedAt when the gateway was notified of each version of the endpoint list,
     *     in wall-clock milliseconds of its own clock
     */
    public record GatewayAccount(
            String gateway, LatencyAccount account, Map<Long, Double> versionNotifiedAt) {}

    /**
     * The milliseconds by which a gateway's clock is ahead of the first gateway's; NaN if unknown.
     * The property name is that of {@code report --json}.
     */
    public record ClockOffset(String gateway, @JsonProperty("ahead") double offsetMillis) {}

    /** The merged account and the clock offsets; an unknown offset was applied as 0. */
    public record Merged(LatencyAccount account, List<ClockOffset> clocks) {}

    /** Load further than this from the time of a wait is not attributed to it. */
    private static final double MAX_FLOW_DISTANCE_MILLIS = 10_000;

    /** The accounts, shifted to the clock of the first gateway. */
    private final List<LatencyAccount> aligned = new ArrayList<>();

    private FleetMerger() {}

    /**
     * Merges all accounts on the clock of the first gateway and attributes the load of other
     * gateways to volumes, as an estimate.
     */
    @SuppressWarnings("ReferenceEquality") // identifies the first account by identity
    public static Merged merge(List<GatewayAccount> accounts) {
        List<ClockOffset> clocks = new ArrayList<>();
        FleetMerger merger = new FleetMerger();
        for (GatewayAccount member : accounts) {
            double offset = member == accounts.get(0) ? 0 : clockOffset(accounts, member);
            clocks.add(new ClockOffset(member.gateway, offset));
            LatencyAccount account = new LatencyAccount();
            account.merge(member.account, Double.isNaN(offset) ? 0 : offset);
            merger.aligned.add(account);
        }
        return new Merged(merger.mergeAligned(), clocks);
    }

    private LatencyAccount mergeAligned() {
        LatencyAccount merged = new LatencyAccount();
        for (int i = 0; i < aligned.size(); i++) {
            // The attribution reads only the flows of the other accounts, which it does not change.
            if (aligned.size() > 1) {
                attributeOtherGateways(i);
            }
            merged.merge(aligned.get(i), 0);
        }
        return merged;
    }

    // ---- clocks ----

    /**
     * Returns the median offset over versions in common with the first gateway, or the sum of two
     * offsets through an intermediate gateway; NaN if there is neither.
     */
    private static double clockOffset(List<GatewayAccount> accounts, GatewayAccount member) {
        GatewayAccount first = accounts.get(0);
        double direct = medianDifference(first, member);
        if (!Double.isNaN(direct)) {
            return direct;
        }
        for (GatewayAccount intermediate : accounts) {
            double sum =
                    medianDifference(first, intermediate) + medianDifference(intermediate, member);
            if (!Double.isNaN(sum)) {
                return sum;
            }
        }
        return Double.NaN;
    }

    private static double medianDifference(GatewayAccount one, GatewayAccount other) {
        double[] differences =
                other.versionNotifiedAt.entrySet().stream()
                        .filter(entry -> one.versionNotifiedAt.containsKey(entry.getKey()))
                        .mapToDouble(
                                entry ->
                                        entry.getValue()
                                                - one.versionNotifiedAt.get(entry.getKey()))
                        .sorted()
                        .toArray();
        return differences.length == 0 ? Double.NaN : differences[differences.length / 2];
    }

    // ---- attribution ----

    /**
     * Replaces charges to other gateways by charges to volumes, in proportion to the units that the
     * node executed for the other gateways at about that time.
     */
    private void attributeOtherGateways(int index) {
        aligned.get(index)
                .volumes
                .forEach(
                        (volume, timeline) -> {
                            for (int level = 0; level < Timeline.LEVELS; level++) {
                                double length = Timeline.WINDOW_MILLIS[level];
                                timeline.level(level)
                                        .forEach(
                                                (number, window) ->
                                                        attributeOtherGateways(
                                                                index,
                                                                volume,
                                                                window.causes,
                                                                number * length,
                                                                (number + 1) * length));
                            }
                        });
    }

    private void attributeOtherGateways(
            int index, long volume, CauseCharges charges, double from, double to) {
        CauseCharges original = new CauseCharges(AccountWindow.MAX_CAUSES);
        original.addAll(charges);
        charges.clear();
        for (int i = 0; i < original.size(); i++) {
            Cause cause = Cause.of(original.key(i));
            Map<Long, Double> units =
                    cause.kind() == Cause.Kind.OTHER_GATEWAYS
                            ? unitsOfOtherGateways(index, cause.node(), from, to)
                            : Map.of();
            double sum = units.values().stream().mapToDouble(Double::doubleValue).sum();
            if (sum <= 0) {
                addFraction(charges, original.key(i), original, i, 1);
                continue;
            }
            int causeIndex = i;
            units.forEach(
                    (other, amount) -> {
                        Cause.Kind kind =
                                other == volume ? Cause.Kind.OWN_LOAD : Cause.Kind.NEIGHBOUR;
                        long key = Cause.key(kind, other, cause.node(), true);
                        addFraction(charges, key, original, causeIndex, amount / sum);
                    });
        }
    }

    private static void addFraction(
            CauseCharges charges, long key, CauseCharges from, int index, double fraction) {
        charges.add(
                key,
                fraction * from.waited(index),
                fraction * from.lowerBound(index),
                fraction * from.upperBound(index),
                fraction * from.lostWeight(index));
    }

    /**
     * Returns the units that a node executed for the other gateways, by volume, in a period that is
     * extended by {@link #MAX_FLOW_DISTANCE_MILLIS} at either end.
     */
    private Map<Long, Double> unitsOfOtherGateways(int index, int node, double from, double to) {
        Map<Long, Double> units = new TreeMap<>();
        for (int i = 0; i < aligned.size(); i++) {
            Timeline<NodeFlow> timeline = aligned.get(i).flows.get(node);
            if (i == index || timeline == null) {
                continue;
            }
            NodeFlow sum = new NodeFlow();
            timeline.sum(sum, from - MAX_FLOW_DISTANCE_MILLIS, to + MAX_FLOW_DISTANCE_MILLIS - 1);
            for (int flowIndex = 0; flowIndex < sum.units.size(); flowIndex++) {
                long volume = Cause.of(sum.units.key(flowIndex)).volume();
                units.merge(volume, sum.units.waited(flowIndex), Double::sum);
            }
        }
        return units;
    }

    /**
     * Returns the faulty nodes of a zone if there are at least two and they are at least half of
     * the nodes of the zone; otherwise an empty list.
     */
    public static List<Integer> faultyNodesOfZone(
            LatencyAccount account, int zone, List<Integer> faultyNodes) {
        int[] nodesInZone =
                account.zones.entrySet().stream()
                        .filter(entry -> entry.getValue() == zone)
                        .mapToInt(Map.Entry::getKey)
                        .toArray();
        List<Integer> faultyInZone =
                Arrays.stream(nodesInZone).filter(faultyNodes::contains).boxed().toList();
        return faultyInZone.size() > 1 && 2 * faultyInZone.size() >= nodesInZone.length
                ? faultyInZone
                : List.of();
    }
}
