package sagepulley.frontend.nbd;

import java.util.List;
import sagepulley.membership.ListFreshness;
import sagepulley.membership.Membership;

/**
 * What a gateway knows of its nodes. Component names are keys of the JSON that operators read.
 *
 * @param trust the freshness of the endpoint list
 * @param age milliseconds since a directory confirmed the list; infinite if none did
 * @param directory whether the directory is reachable
 * @param unverifiedExtents extents whose holder is known from disk only
 */
public record NodesView(
        String gateway,
        ListFreshness trust,
        double age,
        boolean directory,
        int unverifiedExtents,
        List<Membership.MemberView> nodes) {}
