package sagepulley.frontend.nbd;

import io.netty.buffer.ByteBuf;
import io.netty.util.concurrent.ScheduledFuture;
import sagepulley.accounts.OperationTimer;
import sagepulley.model.Operation;
import sagepulley.upstream.frame.StoreMessages;

/**
 * The part of a request that lies in one extent: one operation, from its taking to its one final
 * answer.
 */
final class RequestPart {
    final PendingRequest request;
    final Operation operation;
    final StoreMessages.Kind kind;
    final long extent;

    /** Bytes in the extent, and where it starts in the export. */
    final int offsetInExtent;

    final int length;
    final long exportOffset;

    /** What is written; empty for all else. Given back when the part is over. */
    ByteBuf payload;

    /** The attempt that is out: its number on the wire (0: none), and the timer of its end. */
    long attemptId;

    ScheduledFuture<?> timeout;

    /** Whether the attempt has been handed to a link, and not merely waits for a claim. */
    boolean handedToConnection;

    /** Whether it was shown to Scheduler, or still waits for the directory. */
    boolean submitted;

    /** Its account of time. */
    OperationTimer timer;

    /**
     * For a flush: how many writes stood when it began, and the node's start that must still hold.
     */
    long writesBeforeFlush;

    long expectedNodeStart;

    RequestPart(
            PendingRequest request,
            Operation operation,
            StoreMessages.Kind kind,
            long extent,
            int offsetInExtent,
            int length,
            long exportOffset,
            ByteBuf payload) {
        this.request = request;
        this.operation = operation;
        this.kind = kind;
        this.extent = extent;
        this.offsetInExtent = offsetInExtent;
        this.length = length;
        this.exportOffset = exportOffset;
        this.payload = payload;
        operation.engineState = this;
    }

    /** The attempt has ended: its timeout is cancelled. */
    void clearAttempt() {
        attemptId = 0;
        if (timeout != null) {
            timeout.cancel(false);
            timeout = null;
        }
        handedToConnection = false;
    }
}
