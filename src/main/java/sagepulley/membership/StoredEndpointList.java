package sagepulley.membership;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * An endpoint list as stored on disk, in JSON; the property names are those of the file.
 *
 * @param site the site that the list belongs to
 * @param history the directory history that the version belongs to
 * @param version the version within the history
 * @param confirmedAt when a directory last confirmed the list, in wall-clock milliseconds; 0 if
 *     never
 */
public record StoredEndpointList(
        String site,
        long history,
        long version,
        long confirmedAt,
        @JsonProperty("lines") List<StoredEndpoint> endpoints) {
    /**
     * A stored endpoint.
     *
     * @param selfDraining whether the node announced that it is draining
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
     * Validates a list that was read from a file.
     *
     * @return this list
     * @throws IllegalArgumentException if a field is missing or out of range
     */
    public StoredEndpointList checked() {
        if (site == null
                || endpoints == null
                || endpoints.size() > MAX_ENDPOINTS
                || version < 0
                || confirmedAt < 0) {
            throw new IllegalArgumentException(
                    "invalid endpoint list: site or lines missing, more than "
                            + MAX_ENDPOINTS
                            + " lines, or a negative version or confirmedAt");
        }
        for (StoredEndpoint stored : endpoints) {
            if (stored == null || !stored.isValid()) {
                throw new IllegalArgumentException("invalid endpoint list entry: " + stored);
            }
        }
        return this;
    }
}
