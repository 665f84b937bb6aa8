package sagepulley.membership;

/**
 * What a source says of a node. The start is wall-clock milliseconds, 0 for long ago; an address is
 * host and port.
 */
public record NodeLine(
        int node,
        int cell,
        int zone,
        int kind,
        Standing standing,
        long startedAt,
        float weight,
        String host,
        int port) {
    /** Whether it may be sent to. */
    public enum Standing {
        GONE,
        READY,
        DRAINING
    }

    boolean sameAddress(NodeLine other) {
        return port == other.port && host.equals(other.host);
    }

    NodeLine standing(Standing now) {
        return new NodeLine(node, cell, zone, kind, now, startedAt, weight, host, port);
    }

    NodeLine startedAt(long when) {
        return new NodeLine(node, cell, zone, kind, standing, when, weight, host, port);
    }
}
