package sagepulley.frontend.nbd;

import java.util.concurrent.atomic.LongAdder;

/** Counts of one gateway since its start. Read from any thread. */
public final class Counters {
    public final LongAdder accepted = new LongAdder();
    public final LongAdder served = new LongAdder();
    public final LongAdder rejected = new LongAdder();
    public final LongAdder abandoned = new LongAdder();

    /** Ended because the client left. */
    public final LongAdder cancelled = new LongAdder();

    public final LongAdder attempts = new LongAdder();
    public final LongAdder notExecuted = new LongAdder();
    public final LongAdder holes = new LongAdder();
    public final LongAdder clients = new LongAdder();
    public final LongAdder clientsEnded = new LongAdder();
    public final LongAdder protocolErrors = new LongAdder();

    /** Operations taken that have no final answer yet. */
    public long open() {
        return accepted.sum() - served.sum() - rejected.sum() - abandoned.sum() - cancelled.sum();
    }
}
