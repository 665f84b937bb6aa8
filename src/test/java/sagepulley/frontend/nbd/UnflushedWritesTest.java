package sagepulley.frontend.nbd;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which cells the next flush covers. */
class UnflushedWritesTest {
    private static final int CELL = 3;
    private static final long NODE_START = 1_000;

    private final UnflushedWrites writes = new UnflushedWrites();

    private List<UnflushedWrites.FlushTarget> targets() {
        List<UnflushedWrites.FlushTarget> targets = new ArrayList<>();
        writes.forEachTarget(targets::add);
        return targets;
    }

    /** Guards against the late answer to an earlier flush that hides a write acknowledged since. */
    @Test
    void lateAnswerOfTwoFlushesAtOnceHidesNoLaterWrite() {
        writes.recordWrite(CELL, NODE_START);
        UnflushedWrites.FlushTarget first = targets().get(0);
        UnflushedWrites.FlushTarget second = targets().get(0);
        writes.recordFlush(first);
        assertEquals(List.of(), targets());
        writes.recordWrite(CELL, NODE_START);
        writes.recordFlush(second);
        assertEquals(1, targets().size());
    }

    @Test
    void writeDuringAFlushIsCoveredByTheNext() {
        writes.recordWrite(CELL, NODE_START);
        UnflushedWrites.FlushTarget flush = targets().get(0);
        writes.recordWrite(CELL, NODE_START);
        writes.recordFlush(flush);
        assertEquals(1, targets().size());
    }

    @Test
    void earlierWritesNameNoStartOfTheNodeUntilALossIsReported() {
        writes.recordWrite(CELL, NODE_START);
        writes.recordEarlierWrites(CELL);
        UnflushedWrites.FlushTarget flush = targets().get(0);
        assertEquals(UnflushedWrites.UNKNOWN_START, flush.expectedNodeStart());
        writes.recordReportedFault(flush, 2 * NODE_START);
        assertEquals(NODE_START, targets().get(0).expectedNodeStart());
    }
}
