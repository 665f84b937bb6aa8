package sagepulley.frontend.nbd;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;
import sagepulley.codec.nbd.NbdConstants;
import sagepulley.codec.nbd.NbdRequest;

/**
 * An NBD request in flight. Its one reply is written when all its parts have ended, and their
 * results are gathered here: the most severe error counts (abandoned over rejected), and each has
 * its own offset. Owns the data of its read chunks until they are written or released; confined to
 * the engine's event loop, then to the client's.
 */
final class PendingRequest {
    /** The offset of an error that concerns the whole request. */
    static final long NO_OFFSET = -1;

    /** The result of a part of a read: data, or a hole of so many bytes where the data is null. */
    record ReadChunk(long offset, int length, ByteBuf data) {}

    /**
     * An error of the request or of one of its parts.
     *
     * @param offset where in the export it occurred, or {@link #NO_OFFSET}
     * @param error its number in the protocol text ('Error values')
     */
    record RequestError(long offset, int error, String message) {}

    final NbdSession session;
    final NbdRequest command;
    final ExportedVolume volume;

    /** Engine milliseconds. */
    final double arrivedAt;

    final List<RequestPart> parts = new ArrayList<>(1);
    final List<ReadChunk> readChunks = new ArrayList<>(1);
    final List<RequestError> errors = new ArrayList<>(0);

    /** Lengths and flags by turns, for a block status; else null. */
    int[] blockDescriptors;

    /** Parts that have not ended. */
    int openParts;

    PendingRequest(
            NbdSession session, NbdRequest command, ExportedVolume volume, double arrivedAt) {
        this.session = session;
        this.command = command;
        this.volume = volume;
        this.arrivedAt = arrivedAt;
    }

    /** Adds the error of a part. */
    void addError(long offset, int error, String message) {
        errors.add(new RequestError(offset, error, message));
    }

    /** Whether what is written must be durable before the reply (NBD_CMD_FLAG_FUA). */
    boolean isDurable() {
        return (command.flags() & NbdConstants.CMD_FLAG_FUA) != 0;
    }

    /** The error that a simple reply tells: 0 if all parts were served. */
    int mostSevereError() {
        int mostSevere = 0;
        for (RequestError error : errors) {
            if (mostSevere == 0 || mostSevere == NbdConstants.ENOMEM) {
                mostSevere = error.error();
            }
        }
        return mostSevere;
    }

    /** Releases data that is not sent. */
    void release() {
        for (ReadChunk chunk : readChunks) {
            if (chunk.data() != null) {
                chunk.data().release();
            }
        }
        readChunks.clear();
    }
}
