package sagepulley.frontend.nbd;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;
import sagepulley.codec.nbd.NbdConstants;
import sagepulley.codec.nbd.NbdRequest;

/**
 * An NBD request in hand. Its one reply is written when all its parts have ended; what several
 * parts say is folded here: of errors the gravest counts (scrapped over declined), and each tells
 * its own offset.
 */
final class PendingRequest {
    /** What a part of a read brought: data, or a hole of so many bytes where the data is null. */
    record ReadChunk(long offset, int length, ByteBuf data) {}

    /** A part that failed. */
    record RequestError(long offset, int error, String message) {}

    final NbdSession session;
    final NbdRequest command;
    final ExportedVolume volume;
    final double arrivedAt;
    final List<RequestPart> parts = new ArrayList<>(1);
    final List<ReadChunk> readChunks = new ArrayList<>(1);
    final List<RequestError> errors = new ArrayList<>(0);

    /** Lengths and flags, for a block status. */
    int[] blockDescriptors;

    int openParts;

    PendingRequest(NbdSession session, NbdRequest asked, ExportedVolume volume, double arrivedAt) {
        this.session = session;
        this.command = asked;
        this.volume = volume;
        this.arrivedAt = arrivedAt;
    }

    void fail(long offset, int error, String message) {
        errors.add(new RequestError(offset, error, message));
    }

    /** Whether what is written must be durable before the reply (NBD_CMD_FLAG_FUA). */
    boolean isDurable() {
        return (command.flags() & NbdConstants.CMD_FLAG_FUA) != 0;
    }

    /** The error of the whole: 0 if all went well. */
    int error() {
        int worst = 0;
        for (RequestError error : errors) {
            if (worst == 0 || worst == NbdConstants.ENOMEM) {
                worst = error.error();
            }
        }
        return worst;
    }

    /** Gives back data that nobody will get. */
    void release() {
        for (ReadChunk chunk : readChunks) {
            if (chunk.data() != null) {
                chunk.data().release();
            }
        }
        readChunks.clear();
    }
}
