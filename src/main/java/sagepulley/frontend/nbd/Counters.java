package sagepulley.frontend.nbd;

import java.util.concurrent.atomic.LongAdder;

/** Counts of one gateway since its start. Read from any thread. */
public final class Counters {
    public final LongAdder taken = new LongAdder();
    public final LongAdder satisfied = new LongAdder();
    public final LongAdder declined = new LongAdder();
    public final LongAdder scrapped = new LongAdder();

    /** Ended because the client left. */
    public final LongAdder left = new LongAdder();

    public final LongAdder attempts = new LongAdder();
    public final LongAdder moot = new LongAdder();
    public final LongAdder holes = new LongAdder();
    public final LongAdder clients = new LongAdder();
    public final LongAdder clientsEnded = new LongAdder();
    public final LongAdder badClients = new LongAdder();

    /** Operations taken that have no final answer yet. */
    public long open() {
        return taken.sum() - satisfied.sum() - declined.sum() - scrapped.sum() - left.sum();
    }
}
