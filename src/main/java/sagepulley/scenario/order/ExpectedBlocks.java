package sagepulley.scenario.order;

import java.util.HashSet;
import java.util.Set;
import java.util.TreeMap;

/**
 * The values that blocks may hold after the commands of one client, applied in the order in which
 * the client sent them. A value is the stamp of a write, or 0 for zeroes. Not thread-safe.
 */
final class ExpectedBlocks {
    /** The value of a block that was never written, zeroed or trimmed. */
    static final long ZEROES = 0;

    /** What the reply to a command tells about its effect. */
    enum Effect {
        /** Acknowledged: it took effect after all earlier commands. */
        APPLIED,
        /** Refused before it was taken: it has no effect. */
        NONE,
        /** No reply, or an error: it may have taken effect, and may still. */
        UNKNOWN
    }

    private final TreeMap<Long, Set<Long>> allowed = new TreeMap<>();

    /** Applies a command that sets a range of blocks to one value. */
    void apply(long firstBlock, long blockCount, long value, Effect effect) {
        if (effect == Effect.NONE) {
            return;
        }
        if (value != ZEROES) {
            for (long block = firstBlock; block < firstBlock + blockCount; block++) {
                allowed.computeIfAbsent(block, added -> new HashSet<>(Set.of(ZEROES)));
            }
        }
        // Zeroes leave a block as it is that was never written.
        for (Set<Long> values : allowed.subMap(firstBlock, firstBlock + blockCount).values()) {
            if (effect == Effect.APPLIED) {
                values.clear();
            }
            values.add(value);
        }
    }

    /** Returns the values that a block may hold. */
    Set<Long> allowedValues(long block) {
        return allowed.getOrDefault(block, Set.of(ZEROES));
    }
}
