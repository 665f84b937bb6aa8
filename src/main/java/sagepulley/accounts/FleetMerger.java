package sagepulley.accounts;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Accounts of several gateways put together. Their clocks differ: every gateway is told of each
 * change of the list of nodes at nearly the same moment, so that the times at which two noted the
 * same version show by how much. And what one gateway knows only as other gateways' work at a node,
 * the others' own books name.
 */
public final class FleetMerger {
    /**
     * A gateway's book, and when, by its own clock, it was told of which versions of the list of
     * nodes.
     */
    public record GatewayAccount(
            String gateway, LatencyAccount account, Map<Long, Double> versionNotifiedAt) {}

    /**
     * By how much a gateway's clock is ahead of the first's, in milliseconds; NaN where nothing
     * shows it.
     */
    public record ClockOffset(String gateway, @JsonProperty("ahead") double offsetMillis) {}

    /** One book for all, and how the clocks were set. */
    public record Merged(LatencyAccount account, List<ClockOffset> clocks) {}

    /** Flows further than this from the time of a wait do not explain it. */
    private static final double NEAR = 10_000;

    private FleetMerger() {}

    /** Puts all together by the clock of the first; names who worked elsewhere, as an estimate. */
    @SuppressWarnings("ReferenceEquality") // the first member itself, not one like it
    public static Merged merge(List<GatewayAccount> members) {
        List<ClockOffset> clocks = new ArrayList<>();
        LatencyAccount all = new LatencyAccount();
        List<LatencyAccount> aligned = new ArrayList<>();
        for (GatewayAccount member : members) {
            double ahead = member == members.get(0) ? 0 : ahead(members, member);
            clocks.add(new ClockOffset(member.gateway, ahead));
            LatencyAccount book = new LatencyAccount();
            book.merge(member.account, Double.isNaN(ahead) ? 0 : ahead);
            aligned.add(book);
        }
        for (int i = 0; i < aligned.size(); i++) {
            // Names are read from the others' flows, which naming leaves as they are.
            if (members.size() > 1) {
                name(aligned.get(i), aligned, i);
            }
            all.merge(aligned.get(i), 0);
        }
        return new Merged(all, clocks);
    }

    /**
     * The middle of the differences at common versions, with the first, or over others that know
     * both.
     */
    private static double ahead(List<GatewayAccount> members, GatewayAccount member) {
        double direct = difference(members.get(0), member);
        if (!Double.isNaN(direct)) {
            return direct;
        }
        for (GatewayAccount between : members) {
            double both = difference(members.get(0), between) + difference(between, member);
            if (!Double.isNaN(both)) {
                return both;
            }
        }
        return Double.NaN;
    }

    private static double difference(GatewayAccount one, GatewayAccount other) {
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

    /** Puts names in place of others' work, where the other gateways' books tell whose it was. */
    private static void name(LatencyAccount book, List<LatencyAccount> all, int mine) {
        book.volumes.forEach(
                (volume, line) -> {
                    for (int level = 0; level < Timeline.LEVELS; level++) {
                        double length = Timeline.LENGTH[level];
                        for (Map.Entry<Long, AccountWindow> entry : line.level(level).entrySet()) {
                            name(
                                    entry.getValue(),
                                    volume,
                                    entry.getKey() * length,
                                    (entry.getKey() + 1) * length,
                                    all,
                                    mine);
                        }
                    }
                });
    }

    private static void name(
            AccountWindow window,
            long volume,
            double from,
            double to,
            List<LatencyAccount> all,
            int mine) {
        CauseCharges before = new CauseCharges(AccountWindow.MOST_CAUSES);
        before.addAll(window.causes);
        window.causes.clear();
        for (int i = 0; i < before.size(); i++) {
            Cause cause = Cause.of(before.key(i));
            Map<Long, Double> units =
                    cause.kind() == Cause.Kind.OTHER_GATEWAYS
                            ? elsewhere(cause.node(), from, to, all, mine)
                            : Map.of();
            double sum = units.values().stream().mapToDouble(Double::doubleValue).sum();
            if (sum <= 0) {
                window.causes.add(
                        before.key(i),
                        before.waited(i),
                        before.least(i),
                        before.most(i),
                        before.lost(i));
                continue;
            }
            int at = i;
            units.forEach(
                    (who, amount) -> {
                        Cause.Kind kind =
                                who == volume ? Cause.Kind.OWN_LOAD : Cause.Kind.NEIGHBOUR;
                        double part = amount / sum;
                        window.causes.add(
                                Cause.key(kind, who, cause.node(), true),
                                part * before.waited(at),
                                part * before.least(at),
                                part * before.most(at),
                                part * before.lost(at));
                    });
        }
    }

    /**
     * Units that the others sent to a node about a time, by volume; of the finest stretches that
     * they have.
     */
    private static Map<Long, Double> elsewhere(
            int node, double from, double to, List<LatencyAccount> all, int mine) {
        Map<Long, Double> units = new TreeMap<>();
        for (int i = 0; i < all.size(); i++) {
            Timeline<NodeFlow> line = all.get(i).flows.get(node);
            if (i == mine || line == null) {
                continue;
            }
            NodeFlow sum = new NodeFlow();
            line.sum(sum, from - NEAR, to + NEAR - 1);
            for (int at = 0; at < sum.units.size(); at++) {
                units.merge(
                        Cause.of(sum.units.key(at)).volume(), sum.units.waited(at), Double::sum);
            }
        }
        return units;
    }

    /**
     * The nodes of one zone that share a fault, when it is more than one and at least half of the
     * zone's.
     */
    public static List<Integer> zoneAtFault(LatencyAccount book, int zone, List<Integer> atFault) {
        int[] there =
                book.zones.entrySet().stream()
                        .filter(entry -> entry.getValue() == zone)
                        .mapToInt(Map.Entry::getKey)
                        .toArray();
        List<Integer> faulty = Arrays.stream(there).filter(atFault::contains).boxed().toList();
        return faulty.size() > 1 && 2 * faulty.size() >= there.length ? faulty : List.of();
    }
}
