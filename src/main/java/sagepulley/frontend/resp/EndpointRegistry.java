package sagepulley.frontend.resp;

import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import sagepulley.discovery.http.EndpointListUpdate;
import sagepulley.engine.Clock;
import sagepulley.engine.EndpointEntry;
import sagepulley.model.Attempt;
import sagepulley.model.Node;
import sagepulley.model.Operation;

/**
 * Maps the endpoint ids of discovery to the numbers that the engine uses, and holds the address of
 * each endpoint. Runs on the event loop.
 */
final class EndpointRegistry {
    private final List<String> zones;
    private final List<String> kinds;
    private final Clock clock;
    private final Map<String, Integer> numberById = new HashMap<>();
    private final Map<Integer, String> idByNumber = new HashMap<>();
    private final Map<Integer, SocketAddress> addressByNumber = new HashMap<>();
    private int lastNumber;

    EndpointRegistry(List<String> zones, List<String> kinds, Clock clock) {
        this.zones = zones;
        this.kinds = kinds;
        this.clock = clock;
    }

    /**
     * Converts the members of a list to engine entries with start times on the gateway's clock.
     * Skips removed endpoints that are unknown.
     */
    List<EndpointEntry> entries(EndpointListUpdate update) {
        return update.members().stream()
                .filter(
                        member ->
                                member.phase() != Node.Phase.REMOVED
                                        || numberById.containsKey(member.id()))
                .map(this::toEngineEntry)
                .toList();
    }

    /** Describes how the listed phases differ from the phases known so far, for the log. */
    List<String> describePhaseChanges(
            EndpointListUpdate update, Function<Integer, Node> nodeLookup) {
        List<String> changes = new ArrayList<>();
        for (EndpointListUpdate.Member member : update.members()) {
            Integer number = numberById.get(member.id());
            Node node = number == null ? null : nodeLookup.apply(number);
            Object previousPhase = node == null ? "unknown" : node.phase;
            if (previousPhase != member.phase()) {
                changes.add(member.id() + ":" + previousPhase + "->" + member.phase());
            }
        }
        return changes;
    }

    private EndpointEntry toEngineEntry(EndpointListUpdate.Member member) {
        int number = numberById.computeIfAbsent(member.id(), id -> ++lastNumber);
        idByNumber.put(number, member.id());
        if (member.address() != null) {
            addressByNumber.put(number, member.address());
        }
        return new EndpointEntry(
                zones.indexOf(member.locality()),
                member.cell(),
                number,
                member.phase(),
                clock.fromWallClock(member.startedAtMillis()),
                kinds.indexOf(member.flavor()),
                member.weight());
    }

    /** Returns the address of the endpoint; null if it is unknown. */
    SocketAddress address(Node node) {
        return addressByNumber.get(node.id);
    }

    /** Returns the id of the endpoint at discovery, or a placeholder if it is unknown. */
    String discoveryId(Node node) {
        return idByNumber.getOrDefault(node.id, "node " + node.id);
    }

    /** Describes the endpoint and the outcome of each attempt of an operation, for the log. */
    String describeAttempts(Operation operation) {
        StringBuilder text = new StringBuilder();
        for (Attempt attempt : operation.attempts) {
            text.append(text.isEmpty() ? "" : ",")
                    .append(discoveryId(attempt.node))
                    .append(':')
                    .append(attempt.outcome == null ? "IN_FLIGHT" : attempt.outcome);
        }
        return text.toString();
    }

    /** Removes an endpoint permanently. Its id gets a new number if it is listed again. */
    void remove(Node node) {
        numberById.remove(idByNumber.remove(node.id));
        addressByNumber.remove(node.id);
    }
}
