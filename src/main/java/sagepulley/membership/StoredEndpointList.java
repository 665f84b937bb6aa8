package sagepulley.membership;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * An endpoint list as it is stored on disk (JSON; the property names are the file's).
 *
 * @param site whose list it is
 * @param history the directory's run of versions
 * @param version its version within the history
 * @param confirmedAt when a directory last confirmed it, wall-clock milliseconds; 0 for never
 */
public record StoredEndpointList(
        String site,
        long history,
        long version,
        long confirmedAt,
        @JsonProperty("lines") List<StoredEndpoint> endpoints) {
    /**
     * One endpoint.
     *
     * @param selfDraining whether the node itself announced that it is draining
     */
    public record StoredEndpoint(
            @JsonProperty("line") EndpointRecord endpoint,
            RecordSource source,
            boolean selfDraining) {
        private boolean isValid() {
            return endpoint != null && source != null && endpoint.isValid();
        }
    }

    private static final int MAX_ENDPOINTS = 1 << 14;

    /**
     * Checks what was read.
     *
     * @return this
     * @throws IllegalArgumentException if a field is missing or out of range
     */
    public StoredEndpointList checked() {
        if (site == null
                || endpoints == null
                || endpoints.size() > MAX_ENDPOINTS
                || version < 0
                || confirmedAt < 0) {
            throw new IllegalArgumentException("no list of nodes");
        }
        for (StoredEndpoint stored : endpoints) {
            if (stored == null || !stored.isValid()) {
                throw new IllegalArgumentException("a line that can be no node's: " + stored);
            }
        }
        return this;
    }
}
