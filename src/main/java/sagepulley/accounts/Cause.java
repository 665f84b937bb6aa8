package sagepulley.accounts;

import com.fasterxml.jackson.annotation.JsonProperty;
import sagepulley.model.ExternalName;

/**
 * A cause of an operation's wait.
 *
 * @param volume the number of the volume that caused it; 0 for none or several
 * @param node the node at which it occurred; 0 for none or several
 * @param isEstimated whether it was estimated from reports of nodes and not observed at this
 *     gateway
 */
public record Cause(Kind kind, long volume, int node, boolean isEstimated) {
    /**
     * Kinds of causes. Stored accounts refer to a kind by its ordinal, so new kinds are added at
     * the end.
     */
    public enum Kind implements ExternalName {
        /** The volume's own load. */
        OWN_LOAD("own_load"),
        /** The rate limit of the volume's plan. */
        OWN_LIMIT("own_limit"),
        /** The execution of the work that the volume requested. */
        OWN_WORK("own_work"),
        /** The load of another volume through this gateway. */
        NEIGHBOUR("neighbour"),
        /** The load of any volume through other gateways. */
        @JsonProperty("ELSEWHERE")
        OTHER_GATEWAYS("elsewhere"),
        /** A node with longer service times than the other nodes. */
        SLOW_NODE("slow_node"),
        /** A pause of a node, such as a flush of deferred writes. */
        PAUSE("pause"),
        /** A node in slow start. */
        @JsonProperty("COLD_NODE")
        WARMING_UP_NODE("cold_node"),
        /** A node that failed or did not answer, or the absence of a ready node. */
        FAULT("fault"),
        /** Throttling by this gateway: a queue estimate, the retry budget or a priority. */
        @JsonProperty("CAUTION")
        LOCAL_THROTTLING("caution"),
        /** The directory, including claims of extents. */
        DIRECTORY("directory"),
        /** The network between gateway and node. */
        NETWORK("network");

        private final String externalName;

        Kind(String externalName) {
            this.externalName = externalName;
        }

        @Override
        public String externalName() {
            return externalName;
        }
    }

    private static final Kind[] KINDS = Kind.values();
    private static final int NODE_BITS = 24;
    private static final int VOLUME_BITS = 34;
    private static final long MAX_NODE = (1L << NODE_BITS) - 1;
    private static final long MAX_VOLUME = (1L << VOLUME_BITS) - 1;

    /**
     * Encodes a cause as the number under which it is stored. A node or volume that does not fit is
     * encoded as 0.
     */
    static long key(Kind kind, long volume, int node, boolean isEstimated) {
        long volumeBits = volume < 0 || volume > MAX_VOLUME ? 0 : volume;
        long nodeBits = node < 0 || node > MAX_NODE ? 0 : node;
        return ((long) kind.ordinal() << 1 | (isEstimated ? 1 : 0)) << (NODE_BITS + VOLUME_BITS)
                | nodeBits << VOLUME_BITS
                | volumeBits;
    }

    static Cause of(long key) {
        return new Cause(
                kind(key),
                key & MAX_VOLUME,
                (int) (key >>> VOLUME_BITS & MAX_NODE),
                (key >>> (NODE_BITS + VOLUME_BITS) & 1) == 1);
    }

    static Kind kind(long key) {
        return KINDS[(int) (key >>> (NODE_BITS + VOLUME_BITS + 1))];
    }

    /** Returns whether a number is a valid cause key. Numbers read from a file may not be. */
    static boolean isValidKey(long key) {
        return key >= 0 && key >>> (NODE_BITS + VOLUME_BITS + 1) < KINDS.length;
    }

    long key() {
        return key(kind, volume, node, isEstimated);
    }

    /** Returns the key of the same cause at any node, into which small charges are merged. */
    static long withoutNode(long key) {
        return key & ~(MAX_NODE << VOLUME_BITS);
    }

    /**
     * Returns the key of the same cause at any node and by any volume, into which small charges are
     * merged.
     */
    static long withoutNodeAndVolume(long key) {
        return withoutNode(key) & ~MAX_VOLUME;
    }
}
