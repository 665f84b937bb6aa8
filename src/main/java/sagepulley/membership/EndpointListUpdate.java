package sagepulley.membership;

import java.util.List;

/**
 * An endpoint list as a directory sends it.
 *
 * @param site whose list it is; empty if the directory does not say
 * @param history which run of versions it belongs to; a directory that is rebuilt or restored
 *     begins another
 * @param version counts up within a history
 * @param complete whether all endpoints are in it, or only those that changed
 */
public record EndpointListUpdate(
        String site,
        long history,
        long version,
        boolean complete,
        List<EndpointRecord> endpoints) {}
