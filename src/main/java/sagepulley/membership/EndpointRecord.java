package sagepulley.membership;

import com.fasterxml.jackson.annotation.JsonProperty;
import sagepulley.model.ExternalName;

/**
 * What a source says of a node. The start is wall-clock milliseconds, 0 for long ago; an address is
 * host and port.
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
    /** Whether it may be sent to. */
    public enum Phase implements ExternalName {
        @JsonProperty("GONE")
        REMOVED("gone"),
        READY("ready"),
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

    boolean sameAddress(EndpointRecord other) {
        return port == other.port && host.equals(other.host);
    }

    EndpointRecord phase(Phase now) {
        return new EndpointRecord(node, cell, zone, kind, now, startedAt, weight, host, port);
    }

    EndpointRecord startedAt(long when) {
        return new EndpointRecord(node, cell, zone, kind, phase, when, weight, host, port);
    }
}
