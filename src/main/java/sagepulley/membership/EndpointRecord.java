package sagepulley.membership;

import com.fasterxml.jackson.annotation.JsonProperty;
import sagepulley.model.ExternalName;

/**
 * A node's entry in an endpoint list, as one source reports it.
 *
 * @param node the node id, never 0
 * @param startedAt when the node started, in wall-clock milliseconds; 0 for long ago
 * @param weight capacity relative to other nodes
 */
public record EndpointRecord(
        int node,
        int cell,
        int zone,
        int kind,
        @JsonProperty("standing") Phase phase,
        long startedAt,
        float weight,
        String host,
        int port) {
    private static final int MAX_HOST_LENGTH = 255;
    private static final int MAX_PORT = 65_535;

    /** The phase of a node, which determines whether operations may be sent to it. */
    public enum Phase implements ExternalName {
        /** The node is no longer a member. */
        @JsonProperty("GONE")
        REMOVED("gone"),
        /** The node accepts operations. */
        READY("ready"),
        /** The node finishes its operations in progress and accepts no new ones. */
        DRAINING("draining");

        private final String externalName;

        Phase(String externalName) {
            this.externalName = externalName;
        }

        @Override
        public String externalName() {
            return externalName;
        }

        /**
         * Returns the phase with an external name, ignoring case.
         *
         * @throws IllegalArgumentException if no phase has that name
         */
        public static Phase ofExternalName(String name) {
            for (Phase phase : values()) {
                if (phase.externalName.equalsIgnoreCase(name)) {
                    return phase;
                }
            }
            throw new IllegalArgumentException(
                    "unknown phase '" + name + "', expected one of gone, ready, draining");
        }
    }

    boolean hasSameAddress(EndpointRecord other) {
        return port == other.port && host.equals(other.host);
    }

    boolean isReady() {
        return phase == Phase.READY;
    }

    boolean isRemoved() {
        return phase == Phase.REMOVED;
    }

    EndpointRecord withPhase(Phase other) {
        return new EndpointRecord(node, cell, zone, kind, other, startedAt, weight, host, port);
    }

    EndpointRecord withStartedAt(long other) {
        return new EndpointRecord(node, cell, zone, kind, phase, other, weight, host, port);
    }

    /** Returns whether every field is present and in range. */
    boolean isValid() {
        return phase != null
                && host != null
                && !host.isEmpty()
                && host.length() <= MAX_HOST_LENGTH
                && port >= 1
                && port <= MAX_PORT
                && cell >= 0
                && zone >= 0
                && node != 0
                && startedAt >= 0
                && weight >= 0; // false for NaN
    }
}
