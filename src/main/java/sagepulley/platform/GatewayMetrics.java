package sagepulley.platform;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import sagepulley.model.Node;
import sagepulley.model.Operation;
import sagepulley.model.Outcome;
import sagepulley.model.Reason;
import sagepulley.model.TrafficClass;

/** What has happened since the start, for the log. */
final class GatewayMetrics {
    long taken;
    long badCommands;
    long noRoom;
    long left;
    long attempts;
    private long onTime;
    private long late;
    private final Map<Outcome, Long> outcomes = new EnumMap<>(Outcome.class);
    private final Map<String, Long> givenUp = new TreeMap<>();
    private final Map<Reason, Long> waits = new EnumMap<>(Reason.class);
    private final Map<Integer, Map<Outcome, Integer>> lately = new HashMap<>();

    void ended(Outcome outcome, Node node) {
        outcomes.merge(outcome, 1L, Long::sum);
        lately.computeIfAbsent(node.id, any -> new EnumMap<>(Outcome.class))
                .merge(outcome, 1, Integer::sum);
    }

    void satisfied(Operation operation, double now) {
        if (now - operation.arrivedAt <= operation.trafficClass.latencyObjective()) {
            onTime++;
        } else {
            late++;
        }
    }

    /** Adds what waits at one moment. */
    void waits(Map<Reason, Integer> waiting) {
        waiting.forEach((reason, count) -> waits.merge(reason, (long) count, Long::sum));
    }

    void gaveUp(TrafficClass trafficClass, Reason reason) {
        givenUp.merge(trafficClass.name() + "/" + reason, 1L, Long::sum);
    }

    /** How attempts to a node have ended since this was last asked. */
    Map<Outcome, Integer> lately(Node node) {
        Map<Outcome, Integer> outcomes = lately.remove(node.id);
        return outcomes == null ? Map.of() : outcomes;
    }

    @Override
    public String toString() {
        return "taken="
                + taken
                + " on-time="
                + onTime
                + " late="
                + late
                + " left="
                + left
                + " bad="
                + badCommands
                + " no-room="
                + noRoom
                + " hops="
                + attempts
                + " outcomes="
                + outcomes
                + " given-up="
                + givenUp
                + " waits="
                + waits;
    }
}
