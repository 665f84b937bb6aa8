package sagepulley.config;

import java.nio.file.Path;
import java.util.List;

/**
 * Where the list of nodes and the extents' holders are kept on disk (null: nowhere), how long a
 * list is fresh and how long it is merely aged, in milliseconds; how many nodes are asked who they
 * are at a time; and the nodes that the site file itself names.
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
