package sagepulley.frontend.nbd;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counts of one gateway since its start. Operations are the parts of requests; each accepted one is
 * served, rejected, abandoned or cancelled in the end. Safe for use from any thread.
 */
public final class Counters {
    /** Operations accepted. */
    public final LongAdder accepted = new LongAdder();

    /** Operations that a node served, or that needed none. */
    public final LongAdder served = new LongAdder();

    /** Operations answered with ENOMEM: they did not run. */
    public final LongAdder rejected = new LongAdder();

    /** Operations answered with EIO: they may have run. */
    public final LongAdder abandoned = new LongAdder();

    /** Operations whose client disconnected. */
    public final LongAdder cancelled = new LongAdder();

    /** Attempts sent to nodes. */
    public final LongAdder attempts = new LongAdder();

    /** Attempts that ended with proof that they never ran. */
    public final LongAdder notExecuted = new LongAdder();

    /** Operations at extents without a holder. */
    public final LongAdder holes = new LongAdder();

    /** Client connections accepted. */
    public final LongAdder clients = new LongAdder();

    /** Client connections ended. */
    public final LongAdder clientsEnded = new LongAdder();

    /** Client connections ended for a malformed message. */
    public final LongAdder protocolErrors = new LongAdder();

    /** Operations accepted that have no final answer yet. */
    public long open() {
        return accepted.sum() - served.sum() - rejected.sum() - abandoned.sum() - cancelled.sum();
    }
}
