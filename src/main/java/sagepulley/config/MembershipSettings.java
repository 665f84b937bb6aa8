package sagepulley.config;

import java.nio.file.Path;
import java.util.List;

/**
 * Settings of the membership: the files of the endpoint list and the extent holders, the ages at
 * which the list is trusted less, the probes and the configured nodes.
 *
 * @param listFile the file of the endpoint list; null for none
 * @param holderFile the file of the extent holders; null for none
 * @param freshMillis the maximum age of a fresh list
 * @param agedMillis the maximum age of an aged list; an older one is old
 * @param maxConcurrentProbes the maximum number of nodes that are probed concurrently
 * @param configuredNodes the nodes that the site file lists
 */
public record MembershipSettings(
        Path listFile,
        Path holderFile,
        double freshMillis,
        double agedMillis,
        int maxConcurrentProbes,
        List<ConfiguredNode> configuredNodes) {
    /** A node that the site file lists. */
    public record ConfiguredNode(int node, int cell, int zone, HostPort address) {}
}
