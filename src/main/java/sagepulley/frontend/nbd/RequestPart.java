package sagepulley.frontend.nbd;

import io.netty.buffer.ByteBuf;
import io.netty.util.concurrent.ScheduledFuture;
import sagepulley.accounts.OperationTimer;
import sagepulley.model.Operation;
import sagepulley.upstream.frame.StoreMessages;

/**
 * The part of a request that lies in one extent: one operation, until its one final answer. Owns
 * its payload; confined to the engine's event loop.
 */
final class RequestPart {
    final PendingRequest request;
    final Operation operation;
    final StoreMessages.Kind kind;

    /** Number of the extent in the export. */
    final long extent;

    /** Bytes. */
    final int offsetInExtent;

    /** Bytes. */
    final int length;

    /** Where the part starts in the export; -1 for a flush. */
    final long exportOffset;

    /** What is written; empty for all else. Released when the part has ended. */
    final ByteBuf payload;

    /** The number on the wire of the attempt in flight; 0 for none. */
    long attemptId;

    /** Ends the attempt in flight. */
    ScheduledFuture<?> timeout;

    /** Whether the attempt went to a connection, and does not wait for a claim. */
    boolean handedToConnection;

    /** Whether the scheduler knows the operation; else it waits for the directory. */
    boolean submitted;

    /** What the operation's time was spent on; null if no accounts are kept. */
    OperationTimer timer;

    /** For a flush: the volume's unflushed writes at the node when it began. */
    long writesBeforeFlush;

    /** For a flush: the incarnation that the node must still have, else 0. */
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

    /**
     * The part was served: what that means for the volume's next flush.
     *
     * @param cell the cell of the node that served it
     * @param nodeStartedAt the node's incarnation, by its start in wall-clock milliseconds
     */
    void recordDurability(int cell, long nodeStartedAt) {
        if (kind == StoreMessages.Kind.FLUSH) {
            request.volume.recordFlush(cell, writesBeforeFlush);
        } else if (kind.modifiesData() && !request.isDurable()) {
            request.volume.recordWrite(cell, nodeStartedAt);
        }
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
