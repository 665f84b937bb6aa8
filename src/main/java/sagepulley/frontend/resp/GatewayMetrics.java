package sagepulley.frontend.resp;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import sagepulley.model.Node;
import sagepulley.model.Operation;
import sagepulley.model.Outcome;
import sagepulley.model.Reason;
import sagepulley.model.TrafficClass;

/** Counts events since the start, for the log. Runs on the event loop. */
final class GatewayMetrics {
    long accepted;
    long invalidCommands;
    long rejectedAtCapacity;

    /** Commands that were rejected because they could not be kept while they were received. */
    long discardedCommands;

    /** Replies of endpoints that were replaced by an error because they could not be kept. */
    long discardedReplies;

    long cancelled;
    long attempts;
    private long withinObjective;
    private long beyondObjective;
    private final Map<Outcome, Long> outcomes = new EnumMap<>(Outcome.class);
    private final Map<String, Long> unserved = new TreeMap<>();
    private final Map<Reason, Long> waiting = new EnumMap<>(Reason.class);
    private final Map<Integer, Map<Outcome, Integer>> recentOutcomes = new HashMap<>();

    void onAttemptEnded(Outcome outcome, Node node) {
        outcomes.merge(outcome, 1L, Long::sum);
        recentOutcomes
                .computeIfAbsent(node.id, nodeId -> new EnumMap<>(Outcome.class))
                .merge(outcome, 1, Integer::sum);
    }

    void onServed(Operation operation, double now) {
        if (now - operation.arrivedAt <= operation.trafficClass.latencyObjective()) {
            withinObjective++;
        } else {
            beyondObjective++;
        }
    }

    /** Adds a sample of the number of waiting operations by reason. */
    void addWaiting(Map<Reason, Integer> waitingByReason) {
        waitingByReason.forEach((reason, count) -> waiting.merge(reason, (long) count, Long::sum));
    }

    void onUnserved(TrafficClass trafficClass, Reason reason) {
        unserved.merge(trafficClass.name() + "/" + reason, 1L, Long::sum);
    }

    /**
     * Returns and resets the outcomes of attempts to an endpoint since the previous call for it.
     */
    Map<Outcome, Integer> takeRecentOutcomes(Node node) {
        Map<Outcome, Integer> outcomes = recentOutcomes.remove(node.id);
        return outcomes == null ? Map.of() : outcomes;
    }

    @Override
    public String toString() {
        return "accepted="
                + accepted
                + " within-objective="
                + withinObjective
                + " beyond-objective="
                + beyondObjective
                + " cancelled="
                + cancelled
                + " invalid="
                + invalidCommands
                + " rejected-at-capacity="
                + rejectedAtCapacity
                + " attempts="
                + attempts
                + " outcomes="
                + outcomes
                + " unserved="
                + unserved
                + " waiting="
                + waiting;
    }
}
