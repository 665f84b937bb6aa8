package sagepulley.frontend.nbd;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import sagepulley.codec.nbd.NbdConstants;
import sagepulley.codec.nbd.NbdRequest;
import sagepulley.model.TrafficClass;
import sagepulley.scheduler.KeyReservation;

/**
 * An NBD request in flight. Collects the results of its parts; the reply is written when all parts
 * have ended.
 *
 * <p>An error other than ENOMEM takes precedence in a simple reply, so that abandoned parts
 * outweigh rejected ones. ENOMEM tells the client that it may repeat the request; it is reported as
 * EIO once a part has been executed that must not be executed again. Each error keeps its own
 * offset. The request owns the data of its read chunks until they are written or released. Confined
 * to the engine's event loop, then to the client's.
 */
final class PendingRequest {
    /** The offset of an error that concerns the whole request. */
    static final long NO_OFFSET = -1;

    /** The result of one part of a read: its data, or null for a hole that reads as zeroes. */
    record ReadChunk(long offset, int length, ByteBuf data) {}

    /**
     * An error of the request or of one of its parts.
     *
     * @param offset the offset in the export where it occurred, or {@link #NO_OFFSET}
     * @param error the error number of the NBD protocol ('Error values')
     */
    record RequestError(long offset, int error, String message) {
        private RequestError withoutLeaveToRepeat() {
            return error == NbdConstants.ENOMEM
                    ? new RequestError(
                            offset,
                            NbdConstants.EIO,
                            "not executed, but another part of the request was")
                    : this;
        }
    }

    final NbdSession session;
    final NbdRequest command;
    final ExportedVolume volume;

    /** Time of arrival in engine milliseconds. */
    final double arrivedAt;

    /** Parts that have not ended. */
    final Set<RequestPart> openParts = new LinkedHashSet<>(2);

    final List<ReadChunk> readChunks = new ArrayList<>(1);
    private final List<RequestError> errors = new ArrayList<>(0);

    /** Whether a node has executed a part that must not be executed again. */
    private boolean hasUnrepeatableEffect;

    /**
     * Alternating lengths and flags that answer a block status request; null for other requests.
     */
    int[] blockDescriptors;

    /** Whether a flush was begun because the gateway shuts down. */
    boolean flushedBeforeReply;

    /** Offset in the export of the first byte for which there is no part yet. */
    long nextOffset;

    /** Bytes from there for which parts are still to be made. */
    long unsplitBytes;

    /** Places in the order of the extents of parts still to be made; null if there are none. */
    KeyReservation keyReservation;

    PendingRequest(
            NbdSession session, NbdRequest command, ExportedVolume volume, double arrivedAt) {
        this.session = session;
        this.command = command;
        this.volume = volume;
        this.arrivedAt = arrivedAt;
    }

    /** Adds an error of the request or of one of its parts. */
    void addError(long offset, int error, String message) {
        addError(new RequestError(offset, error, message));
    }

    /** Adds an error of the request or of one of its parts. */
    void addError(RequestError error) {
        errors.add(error);
    }

    /** Returns whether any error was added. */
    boolean hasFailed() {
        return !errors.isEmpty();
    }

    /** Records that a node has executed a part of a traffic class. */
    void recordExecuted(TrafficClass trafficClass) {
        // A repeat by the client is a new operation, which nodes do not recognise as a duplicate.
        hasUnrepeatableEffect |= trafficClass.idempotency() != TrafficClass.Idempotency.IDEMPOTENT;
    }

    /**
     * Returns the errors to report, rejections last: clients take the first error as that of the
     * request.
     */
    List<RequestError> reportedErrors() {
        return errors.stream()
                .map(error -> hasUnrepeatableEffect ? error.withoutLeaveToRepeat() : error)
                .sorted(Comparator.comparing(error -> error.error() == NbdConstants.ENOMEM))
                .toList();
    }

    /** Returns whether written data must be durable before the reply (NBD_CMD_FLAG_FUA). */
    boolean isDurable() {
        return (command.flags() & NbdConstants.CMD_FLAG_FUA) != 0;
    }

    /**
     * Returns whether the request was served and has written data that the nodes need not have made
     * durable.
     */
    boolean leavesUnflushedWrites() {
        return errors.isEmpty() && !isDurable() && modifiesData() && !flushedBeforeReply;
    }

    private boolean modifiesData() {
        return command.command() == NbdConstants.CMD_WRITE
                || command.command() == NbdConstants.CMD_TRIM
                || command.command() == NbdConstants.CMD_WRITE_ZEROES;
    }

    /** Returns whether all parts have been made and have ended. */
    boolean hasEnded() {
        return unsplitBytes == 0 && openParts.isEmpty();
    }

    /** Gives up the bytes for which there is no part, and the rest of the payload. */
    void dropUnsplit() {
        if (unsplitBytes > 0) {
            unsplitBytes = 0;
            command.payload().release();
        }
    }

    /** Returns the error of a simple reply; 0 if all parts were served. */
    int mostSevereError() {
        List<RequestError> reported = reportedErrors();
        return reported.isEmpty() ? 0 : reported.get(0).error();
    }

    /** Releases the read data without sending it. */
    void release() {
        for (ReadChunk chunk : readChunks) {
            if (chunk.data() != null) {
                chunk.data().release();
            }
        }
        readChunks.clear();
    }
}
