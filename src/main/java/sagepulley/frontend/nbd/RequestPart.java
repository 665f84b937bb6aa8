package sagepulley.frontend.nbd;

import io.netty.buffer.ByteBuf;
import io.netty.util.concurrent.ScheduledFuture;
import sagepulley.accounts.OperationTimer;
import sagepulley.model.Operation;
import sagepulley.upstream.frame.StoreMessages;

/**
 * The part of a request that lies within one extent; the scheduler sees it as one operation. Owns
 * its payload; confined to the engine's event loop.
 */
final class RequestPart {
    final PendingRequest request;
    final Operation operation;
    final StoreMessages.Kind kind;

    /** Index of the extent in the export. */
    final long extent;

    /** Offset in the extent, in bytes. */
    final int offsetInExtent;

    /** Length in bytes. */
    final int length;

    /** Offset in the export, in bytes; -1 for a flush. */
    final long exportOffset;

    /** Data to write; empty for other kinds. Released when the part ends. */
    final ByteBuf payload;

    /** Runs when the part has ended. */
    Runnable onEnded = () -> {};

    /** Id on the wire of the attempt in flight; 0 if there is none. */
    long attemptId;

    /** Timeout of the attempt in flight. */
    ScheduledFuture<?> timeout;

    /** Whether the attempt was handed to a connection; false while its extent is being claimed. */
    boolean handedToConnection;

    /**
     * Whether the operation was submitted to the scheduler; until then the part waits for the
     * directory.
     */
    boolean submitted;

    /** Time accounting of the operation; null if accounts are disabled. */
    OperationTimer timer;

    /** For a flush: the writes that it covers; null for other kinds. */
    UnflushedWrites.FlushTarget flushTarget;

    /** For a flush: the start of the node that last answered with a fault; null if none did. */
    Long faultAtNodeStart;

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
     * Updates the volume's unflushed writes after this part was served.
     *
     * @param cell the cell of the node that served it
     * @param nodeStartedAt the start time of the node's incarnation, in wall-clock milliseconds
     */
    void recordDurability(int cell, long nodeStartedAt) {
        if (kind == StoreMessages.Kind.FLUSH) {
            request.volume.unflushedWrites.recordFlush(flushTarget);
        } else if (kind.modifiesData() && !request.isDurable()) {
            request.volume.unflushedWrites.recordWrite(cell, nodeStartedAt);
        }
    }

    /** Records in the volume's unflushed writes that the client is told of a node's fault. */
    void recordReportedFault() {
        if (faultAtNodeStart != null) {
            request.volume.unflushedWrites.recordReportedFault(flushTarget, faultAtNodeStart);
        }
    }

    /**
     * Returns the start of the node incarnation that acknowledged the writes that a flush covers;
     * {@link UnflushedWrites#UNKNOWN_START} for other kinds.
     */
    long expectedNodeStart() {
        return flushTarget == null
                ? UnflushedWrites.UNKNOWN_START
                : flushTarget.expectedNodeStart();
    }

    /** Removes the part from its request's open parts. */
    void ended() {
        request.openParts.remove(this);
        onEnded.run();
    }

    /** Clears the state of an attempt that has ended, and cancels its timeout. */
    void clearAttempt() {
        attemptId = 0;
        if (timeout != null) {
            timeout.cancel(false);
            timeout = null;
        }
        handedToConnection = false;
    }
}
