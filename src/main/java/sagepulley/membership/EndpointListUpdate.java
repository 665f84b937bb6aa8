package sagepulley.membership;

import java.util.List;

/**
 * A list as a directory tells it: of which site (empty: it does not say), of which history of its
 * own, its version in that history, whole or what changed.
 */
public record EndpointListUpdate(
        String site,
        long history,
        long version,
        boolean complete,
        List<EndpointRecord> endpoints) {}
