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
    private final Map<String, Integer> numbers = new HashMap<>();
    private final Map<Integer, String> names = new HashMap<>();
    private final Map<Integer, SocketAddress> addresses = new HashMap<>();
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
                                        || numbers.containsKey(member.id()))
                .map(this::entry)
                .toList();
    }

    /** Where a list differs from the phases known so far, for the log. */
    List<String> changes(EndpointListUpdate update, Function<Integer, Node> known) {
        List<String> changes = new ArrayList<>();
        for (EndpointListUpdate.Member member : update.members()) {
            Integer number = numbers.get(member.id());
            Node node = number == null ? null : known.apply(number);
            Object before = node == null ? "unknown" : node.phase;
            if (before != member.phase()) {
                changes.add(member.id() + ":" + before + "->" + member.phase());
            }
        }
        return changes;
    }

    private EndpointEntry entry(EndpointListUpdate.Member member) {
        int number = numbers.computeIfAbsent(member.id(), any -> ++lastNumber);
        names.put(number, member.id());
        if (member.address() != null) {
            addresses.put(number, member.address());
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
        return addresses.get(node.id);
    }

    /** The endpoint's id at discovery. */
    String name(Node node) {
        return names.getOrDefault(node.id, "node " + node.id);
    }

    /** Where an operation was sent and how each attempt ended, for the log. */
    String describeAttempts(Operation operation) {
        StringBuilder text = new StringBuilder();
        for (Attempt attempt : operation.attempts) {
            text.append(text.isEmpty() ? "" : ",")
                    .append(name(attempt.node))
                    .append(':')
                    .append(attempt.outcome == null ? "IN_FLIGHT" : attempt.outcome);
        }
        return text.toString();
    }

    /** Removes an endpoint that is gone for good; its id gets a new number if it comes back. */
    void remove(Node node) {
        numbers.remove(names.remove(node.id));
        addresses.remove(node.id);
    }
}
