package sagepulley.membership;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * The list as it goes to disk: of which site, the directory's history and version that it stands
 * at, and when a directory last confirmed it (wall-clock milliseconds, 0 for never).
 */
public record StoredEndpointList(
        String site,
        long history,
        long version,
        long confirmedAt,
        @JsonProperty("lines") List<StoredEndpoint> endpoints) {
    /**
     * A line, where it came from, and whether the node itself or this gateway knows better than the
     * directory.
     */
    public record StoredEndpoint(
            @JsonProperty("line") EndpointRecord endpoint,
            RecordSource source,
            boolean selfDraining) {}

    private static final int MOST_LINES = 1 << 14;

    /**
     * Checks what was read.
     *
     * @throws IllegalArgumentException if it can be no list
     */
    public StoredEndpointList checked() {
        if (site == null
                || endpoints == null
                || endpoints.size() > MOST_LINES
                || version < 0
                || confirmedAt < 0) {
            throw new IllegalArgumentException("no list of nodes");
        }
        for (StoredEndpoint kept : endpoints) {
            EndpointRecord line = kept == null ? null : kept.endpoint;
            if (line == null
                    || kept.source == null
                    || line.phase() == null
                    || line.host() == null
                    || line.host().isEmpty()
                    || line.host().length() > 255
                    || line.port() < 1
                    || line.port() > 65535
                    || line.cell() < 0
                    || line.zone() < 0
                    || line.node() == 0
                    || line.startedAt() < 0
                    || !(line.weight() >= 0)) {
                throw new IllegalArgumentException("a line that can be no node's: " + kept);
            }
        }
        return this;
    }
}
