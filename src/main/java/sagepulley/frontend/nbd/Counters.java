package sagepulley.frontend.nbd;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counters of one gateway since its start. An operation is one part of a request; each accepted
 * operation ends as served, rejected, abandoned or cancelled. Safe for use from any thread.
 */
public final class Counters {
    /** Operations accepted. */
    public final LongAdder accepted = new LongAdder();

    /** Operations that a node served, or that needed no node. */
    public final LongAdder served = new LongAdder();

    /** Operations rejected with ENOMEM; they were not executed. */
    public final LongAdder rejected = new LongAdder();

    /** Operations abandoned with EIO; they may have been executed. */
    public final LongAdder abandoned = new LongAdder();

    /** Operations cancelled because their client disconnected. */
    public final LongAdder cancelled = new LongAdder();

    /** Attempts handed to the connections of nodes. */
    public final LongAdder attempts = new LongAdder();

    /** Attempts that ended with the outcome NOT_EXECUTED. */
    public final LongAdder notExecuted = new LongAdder();

    /** Operations that needed no node because their extent has no holder. */
    public final LongAdder holes = new LongAdder();

    /** Client connections accepted. */
    public final LongAdder clients = new LongAdder();

    /** Accepted client connections that have closed. */
    public final LongAdder clientsEnded = new LongAdder();

    /** Client connections closed because of a malformed message. */
    public final LongAdder protocolErrors = new LongAdder();

    /** Returns the number of accepted operations without a final answer. */
    public long open() {
        return accepted.sum() - served.sum() - rejected.sum() - abandoned.sum() - cancelled.sum();
    }
}
