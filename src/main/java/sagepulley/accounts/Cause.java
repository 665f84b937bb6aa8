package sagepulley.accounts;

import com.fasterxml.jackson.annotation.JsonProperty;
import sagepulley.model.ExternalName;

/**
 * What made an operation wait.
 *
 * @param volume a volume's number; 0 for none or several
 * @param node where it happened; 0 for none or several
 * @param isEstimated whether it was computed from nodes' reports, and not observed here
 */
public record Cause(Kind kind, long volume, int node, boolean isEstimated) {
    /**
     * Kinds of causes. Stored accounts refer to a kind by its ordinal, so new ones go to the end.
     */
    public enum Kind implements ExternalName {
        /** The volume's own load. */
        OWN_LOAD("own_load"),
        /** The rate limit of the volume's plan. */
        OWN_LIMIT("own_limit"),
        /** The work that the volume asked for. */
        OWN_WORK("own_work"),
        /** Another volume's load through this gateway. */
        NEIGHBOUR("neighbour"),
        /** Any volume's load through other gateways. */
        @JsonProperty("ELSEWHERE")
        OTHER_GATEWAYS("elsewhere"),
        /** A node that works slower than the rest. */
        SLOW_NODE("slow_node"),
        /** A pause of a node's own, such as a flush of deferred writes. */
        PAUSE("pause"),
        /** A node in slow start. */
        @JsonProperty("COLD_NODE")
        WARMING_UP_NODE("cold_node"),
        /** A node that did not do its work, or no ready node. */
        FAULT("fault"),
        /** This gateway's own restraint: a queue estimate, the retry budget, a priority. */
        @JsonProperty("CAUTION")
        LOCAL_THROTTLING("caution"),
        /** The directory. */
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

    /** One number for a cause, as it is stored; a node or volume too large for it counts as 0. */
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

    /** Whether a number is a cause's: what is read from a file may be anything. */
    static boolean isValidKey(long key) {
        return key >= 0 && key >>> (NODE_BITS + VOLUME_BITS + 1) < KINDS.length;
    }

    long key() {
        return key(kind, volume, node, isEstimated);
    }

    /** The same cause at any node, which small ones are merged into. */
    static long withoutNode(long key) {
        return key & ~(MAX_NODE << VOLUME_BITS);
    }

    /** The same cause at any node and of any volume, which small ones are merged into. */
    static long withoutNodeAndVolume(long key) {
        return withoutNode(key) & ~MAX_VOLUME;
    }
}
