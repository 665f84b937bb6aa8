package sagepulley.membership;

import com.fasterxml.jackson.annotation.JsonProperty;
import sagepulley.model.ExternalName;

/**
 * What a source says of a node.
 *
 * @param node its id, never 0
 * @param startedAt wall-clock milliseconds; 0 for long ago
 * @param weight its capacity relative to other nodes'
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

    /** Whether a node may be sent to. */
    public enum Phase implements ExternalName {
        /** It is no member any more. */
        @JsonProperty("GONE")
        REMOVED("gone"),
        /** It may be sent to. */
        READY("ready"),
        /** It finishes what it has and takes nothing new. */
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
         * The phase of an external name, whatever its case.
         *
         * @throws IllegalArgumentException if no phase has that name
         */
        public static Phase ofExternalName(String name) {
            for (Phase phase : values()) {
                if (phase.externalName.equalsIgnoreCase(name)) {
                    return phase;
                }
            }
            throw new IllegalArgumentException("'" + name + "' is no phase of an endpoint");
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

    /** Whether no field is missing or out of range. */
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
