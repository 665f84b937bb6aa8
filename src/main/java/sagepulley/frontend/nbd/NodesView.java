package sagepulley.frontend.nbd;

import java.util.List;
import sagepulley.membership.ListFreshness;
import sagepulley.membership.Membership;

/**
 * A gateway's view of its nodes. The component names are the JSON keys of /nodes.
 *
 * @param trust the freshness of the endpoint list
 * @param age milliseconds since a directory last confirmed the list; infinite if none has
 * @param directory whether the directory is reachable
 * @param unverifiedExtents number of extents whose holder was read from disk and not confirmed by a
 *     node since
 */
public record NodesView(
        String gateway,
        ListFreshness trust,
        double age,
        boolean directory,
        int unverifiedExtents,
        List<Membership.MemberView> nodes) {}
