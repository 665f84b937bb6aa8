package sagepulley.membership;

import java.util.List;

/**
 * An endpoint list, or the changes to one, as a directory sends it.
 *
 * @param site the site that the list belongs to; empty if the directory does not name it
 * @param history identifies a sequence of versions; a directory that is rebuilt or restored starts
 *     a new one
 * @param version increases within a history
 * @param complete whether the update has all endpoints, rather than only those that changed
 */
public record EndpointListUpdate(
        String site,
        long history,
        long version,
        boolean complete,
        List<EndpointRecord> endpoints) {}
