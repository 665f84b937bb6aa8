package sagepulley.accounts;

/**
 * Who or what made an operation wait: a kind, a volume's number (0: none or several) and the node
 * where it happened (0: none or several). What was reckoned from nodes' answers, and not seen here,
 * is an estimate.
 */
public record Cause(Kind kind, long volume, int node, boolean estimate) {
    /** Kinds of causes. */
    public enum Kind {
        /** The volume's own load, its plan's limit, and the work that it asked for. */
        OWN_LOAD,
        OWN_LIMIT,
        OWN_WORK,
        /** Another volume's load through this gateway; any volume's through other gateways. */
        NEIGHBOUR,
        ELSEWHERE,
        /**
         * A node that works slower than the rest, pauses of its own, started lately, or did not do
         * its work.
         */
        SLOW_NODE,
        PAUSE,
        COLD_NODE,
        FAULT,
        /** This gateway's caution: a queue seen, the budget of further attempts, a rank. */
        CAUTION,
        DIRECTORY,
        NETWORK
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
