package sagepulley.membership;

/**
 * What a source says of a node. The start is wall-clock milliseconds, 0 for long ago; an address is
 * host and port.
 */
public record EndpointRecord(
        int node,
        int cell,
        int zone,
        int kind,
        Phase standing,
        long startedAt,
        float weight,
        String host,
        int port) {
    /** Whether it may be sent to. */
    public enum Phase {
        GONE,
        READY,
        DRAINING
    }

    boolean sameAddress(EndpointRecord other) {
        return port == other.port && host.equals(other.host);
    }

    EndpointRecord standing(Phase now) {
        return new EndpointRecord(node, cell, zone, kind, now, startedAt, weight, host, port);
    }

    EndpointRecord startedAt(long when) {
        return new EndpointRecord(node, cell, zone, kind, standing, when, weight, host, port);
    }
}
