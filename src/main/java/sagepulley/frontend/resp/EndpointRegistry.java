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
 * Maps discovery's ids of endpoints to the numbers that the engine uses, and knows each endpoint's
 * address. Runs on the event loop.
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

    /** The entries in the engine's form; start times become those of the gateway's clock. */
    List<EndpointEntry> entries(EndpointListUpdate update) {
        return update.members().stream()
                .filter(
                        member ->
                                member.phase() != Node.Phase.REMOVED
                                        || numberById.containsKey(member.id()))
                .map(this::toEngineEntry)
                .toList();
    }

    /** Where a list differs from the phases known so far, for the log. */
    List<String> describePhaseChanges(EndpointListUpdate update, Function<Integer, Node> nodeLookup) {
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
        int number = numberById.computeIfAbsent(member.id(), any -> ++lastNumber);
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

    /** Where the endpoint listens; null if that was never known. */
    SocketAddress address(Node node) {
        return addressByNumber.get(node.id);
    }

    /** The endpoint's id at discovery. */
    String discoveryId(Node node) {
        return idByNumber.getOrDefault(node.id, "node " + node.id);
    }

    /** Where an operation was sent and how each attempt ended, for the log. */
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

    /** Removes an endpoint that is gone for good; its id gets a new number if it comes back. */
    void remove(Node node) {
        numberById.remove(idByNumber.remove(node.id));
        addressByNumber.remove(node.id);
    }
}
