package sagepulley.config;

import java.nio.file.Path;
import java.util.List;

/**
 * Where the endpoint list and the extent holders are stored, and how far the list is trusted.
 *
 * @param listFile null for none
 * @param holderFile null for none
 * @param freshMillis age up to which a list is fresh
 * @param agedMillis age up to which it is aged and not yet old
 * @param maxConcurrentProbes nodes probed at the same time
 * @param configuredNodes those that the site file itself names
 */
public record MembershipSettings(
        Path listFile,
        Path holderFile,
        double freshMillis,
        double agedMillis,
        int maxConcurrentProbes,
        List<ConfiguredNode> configuredNodes) {
    /** A node that the site file names. */
    public record ConfiguredNode(int node, int cell, int zone, HostPort address) {}
}
