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
 * Discovery's list of endpoints, or changes of it.
 *
 * @param complete whether endpoints that are missing here are gone
 * @param unreadable entries that were left out, as they came
 */
public record EndpointListUpdate(
        long revision, boolean complete, List<Member> members, List<String> unreadable) {
    /**
     * One endpoint.
     *
     * @param startedAtMillis wall-clock milliseconds; 0 for long ago
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

    /** This list with all its endpoints at one address. */
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

    /** Reads the JSON form; an entry that cannot be read is left out and kept as text. */
    public static EndpointListUpdate parse(Map<String, Object> object) throws IOException {
        if (!(object.get("revision") instanceof Number revision)
                || !(object.get("complete") instanceof Boolean complete)
                || !(object.get("members") instanceof List<?> entries)) {
            throw new IOException("a list without revision, complete or members");
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
        // An endpoint that is gone needs no address.
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
