package sagepulley.frontend.nbd;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Tracks the cells whose nodes may hold acknowledged writes of a volume that are not durable yet.
 *
 * <p>An incarnation of the gateway knows only the writes that it acknowledged itself. Those of
 * earlier incarnations are unknown at its start: until {@link #earlierWritesKnown} is set, each
 * flush has to cover every cell that holds an extent of the volume. Confined to the engine's event
 * loop.
 */
final class UnflushedWrites {
    /** Start of a node of which nothing is known: any loss of data at the node counts. */
    static final long UNKNOWN_START = 0;

    /**
     * What a flush of one cell covers.
     *
     * @param lastWrite the number of the latest write at the cell when the flush began
     */
    record FlushTarget(int cell, long lastWrite, long expectedNodeStart) {}

    /** Unflushed writes at one cell; node starts are in wall-clock milliseconds. */
    private static final class CellWrites {
        private static final long NONE = Long.MAX_VALUE;

        /** The number of the latest write. */
        long lastWrite;

        /** Start of the node when it acknowledged this incarnation's first unflushed write. */
        long ownStart = NONE;

        /** Start of the node when it acknowledged the writes of earlier incarnations. */
        long earlierStart = NONE;

        long expectedNodeStart() {
            return Math.min(ownStart, earlierStart);
        }
    }

    private final Map<Integer, CellWrites> byCell = new HashMap<>();

    /** Node starts up to which the loss of earlier incarnations' writes was reported, by cell. */
    private final Map<Integer, Long> reportedStarts = new HashMap<>();

    /** Numbers are unique in the volume, so that a late flush is not taken for a newer one. */
    private long lastWrite;

    private boolean earlierWritesKnown;

    /** Returns whether all cells that may hold writes of earlier incarnations are recorded. */
    boolean earlierWritesKnown() {
        return earlierWritesKnown;
    }

    /** Records that no further writes of earlier incarnations can be acknowledged. */
    void setEarlierWritesKnown() {
        earlierWritesKnown = true;
    }

    /** Records a write that a node acknowledged without making it durable. */
    void recordWrite(int cell, long nodeStartedAt) {
        CellWrites writes = byCell.computeIfAbsent(cell, any -> new CellWrites());
        writes.lastWrite = ++lastWrite;
        writes.ownStart = Math.min(writes.ownStart, nodeStartedAt);
    }

    /** Records that a cell may hold unflushed writes of earlier incarnations. */
    void recordEarlierWrites(int cell) {
        CellWrites writes = byCell.computeIfAbsent(cell, any -> new CellWrites());
        writes.lastWrite = ++lastWrite;
        writes.earlierStart = reportedStarts.getOrDefault(cell, UNKNOWN_START);
    }

    /** Passes each cell that a flush has to cover to the consumer. */
    void forEachTarget(Consumer<FlushTarget> consumer) {
        byCell.forEach(
                (cell, writes) ->
                        consumer.accept(
                                new FlushTarget(
                                        cell, writes.lastWrite, writes.expectedNodeStart())));
    }

    /**
     * Records an acknowledged flush. The cell has no unflushed writes left unless further writes
     * were acknowledged after the flush began.
     */
    void recordFlush(FlushTarget flushed) {
        CellWrites writes = byCell.get(flushed.cell());
        if (writes != null && writes.lastWrite == flushed.lastWrite()) {
            byCell.remove(flushed.cell());
        }
    }

    /**
     * Records that a client was told of a node's fault at a flush. If it is not known which start
     * of the node acknowledged the writes, a loss before the current start counts as reported, so
     * that later flushes do not fail because of it.
     *
     * @param nodeStartedAt the current start of the node in wall-clock milliseconds
     */
    void recordReportedFault(FlushTarget failed, long nodeStartedAt) {
        if (failed.expectedNodeStart() != UNKNOWN_START) {
            return;
        }
        reportedStarts.put(failed.cell(), nodeStartedAt);
        CellWrites writes = byCell.get(failed.cell());
        if (writes != null && writes.earlierStart == UNKNOWN_START) {
            writes.earlierStart = nodeStartedAt;
        }
    }
}
