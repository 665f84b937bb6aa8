package sagepulley.discovery.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import sagepulley.model.Node;

/**
 * An endpoint list from discovery, or changes to it.
 *
 * @param complete whether endpoints missing from the list have been removed
 * @param unreadable entries that could not be parsed, as text
 */
public record EndpointListUpdate(
        long revision, boolean complete, List<Member> members, List<String> unreadable) {
    /**
     * An endpoint of the list.
     *
     * @param startedAtMillis wall-clock milliseconds; 0 for a start long ago
     */
    public record Member(
            String id,
            SocketAddress address,
            String locality,
            String flavor,
            int cell,
            Node.Phase phase,
            double weight,
            long startedAtMillis) {}

    /** Returns this list with the same address for all endpoints. */
    public EndpointListUpdate withAddress(SocketAddress address) {
        return new EndpointListUpdate(
                revision,
                complete,
                members.stream()
                        .map(
                                member ->
                                        new Member(
                                                member.id(),
                                                address,
                                                member.locality(),
                                                member.flavor(),
                                                member.cell(),
                                                member.phase(),
                                                member.weight(),
                                                member.startedAtMillis()))
                        .toList(),
                unreadable);
    }

    /**
     * Parses the JSON form. Entries that cannot be parsed are kept as text in {@code unreadable}.
     */
    public static EndpointListUpdate parse(Map<String, Object> object) throws IOException {
        if (!(object.get("revision") instanceof Number revision)
                || !(object.get("complete") instanceof Boolean complete)
                || !(object.get("members") instanceof List<?> entries)) {
            throw new IOException(
                    "endpoint list without a valid revision, complete or members field");
        }
        List<Member> members = new ArrayList<>(entries.size());
        List<String> unreadable = new ArrayList<>(0);
        for (Object entry : entries) {
            Member member = entry instanceof Map<?, ?> fields ? parseMember(fields) : null;
            if (member != null) {
                members.add(member);
            } else {
                unreadable.add(String.valueOf(entry));
            }
        }
        return new EndpointListUpdate(revision.longValue(), complete, members, unreadable);
    }

    private static Member parseMember(Map<?, ?> fields) {
        Node.Phase phase =
                switch (String.valueOf(fields.get("phase")).toUpperCase(Locale.ROOT)) {
                    case "SERVING" -> Node.Phase.READY;
                    case "DRAINING" -> Node.Phase.DRAINING;
                    case "DELETED" -> Node.Phase.REMOVED;
                    default -> null;
                };
        InetSocketAddress address =
                fields.get("host_port") instanceof String text ? AddressParser.parse(text) : null;
        if (phase == null || !(fields.get("id") instanceof String id) || id.isEmpty()) {
            return null;
        }
        // A removed endpoint needs neither an address nor a cell.
        boolean hasLocation = address != null && fields.get("cell") instanceof Number;
        if (!hasLocation && phase != Node.Phase.REMOVED) {
            return null;
        }
        return new Member(
                id,
                address,
                String.valueOf(fields.get("locality")),
                String.valueOf(fields.get("flavor")),
                (int) number(fields.get("cell"), -1),
                phase,
                number(fields.get("size"), 1),
                (long) number(fields.get("up_since_ms"), 0));
    }

    private static double number(Object value, double defaultValue) {
        return value instanceof Number number && Double.isFinite(number.doubleValue())
                ? number.doubleValue()
                : defaultValue;
    }
}
