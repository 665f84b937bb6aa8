package sagepulley.accounts;

import com.fasterxml.jackson.annotation.JsonProperty;
import sagepulley.model.ExternalName;

/**
 * Who or what made an operation wait: a kind, a volume's number (0: none or several) and the node
 * where it happened (0: none or several). What was reckoned from nodes' answers, and not seen here,
 * is an estimate.
 */
public record Cause(Kind kind, long volume, int node, boolean estimate) {
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
    private static final long MOST_NODE = (1L << NODE_BITS) - 1;
    private static final long MOST_VOLUME = (1L << VOLUME_BITS) - 1;

    /** One number for a cause; a node or volume that is too large for it counts as several. */
    static long key(Kind kind, long volume, int node, boolean estimate) {
        long who = volume < 0 || volume > MOST_VOLUME ? 0 : volume;
        long where = node < 0 || node > MOST_NODE ? 0 : node;
        return ((long) kind.ordinal() << 1 | (estimate ? 1 : 0)) << (NODE_BITS + VOLUME_BITS)
                | where << VOLUME_BITS
                | who;
    }

    static Cause of(long key) {
        return new Cause(
                kind(key),
                key & MOST_VOLUME,
                (int) (key >>> VOLUME_BITS & MOST_NODE),
                (key >>> (NODE_BITS + VOLUME_BITS) & 1) == 1);
    }

    static Kind kind(long key) {
        return KINDS[(int) (key >>> (NODE_BITS + VOLUME_BITS + 1))];
    }

    /** Whether a number can be a cause's: what is read from a file may be anything. */
    static boolean isKey(long key) {
        return key >= 0 && key >>> (NODE_BITS + VOLUME_BITS + 1) < KINDS.length;
    }

    long key() {
        return key(kind, volume, node, estimate);
    }

    /** The same anywhere, and the same of anybody anywhere: what little causes are folded into. */
    static long anywhere(long key) {
        return key & ~(MOST_NODE << VOLUME_BITS);
    }

    static long anybody(long key) {
        return anywhere(key) & ~MOST_VOLUME;
    }
}
