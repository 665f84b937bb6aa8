package sagepulley.frontend.nbd;

import java.util.List;
import sagepulley.membership.ListFreshness;
import sagepulley.membership.Membership;

/**
 * What a gateway knows of its nodes: how far and for what age of the list (milliseconds since a
 * directory confirmed it; infinity if none did), whether the directory is reached, extents whose
 * holder is known from disk only.
 */
public record NodesView(
        String gateway,
        ListFreshness trust,
        double age,
        boolean directory,
        int unverifiedExtents,
        List<Membership.MemberView> nodes) {}
