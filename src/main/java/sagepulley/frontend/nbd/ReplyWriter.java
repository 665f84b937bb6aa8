package sagepulley.frontend.nbd;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.util.Comparator;
import java.util.List;
import sagepulley.codec.nbd.NbdConstants;
import sagepulley.codec.nbd.NbdReplies;

/**
 * Writes the reply of a request in the form that its session negotiated ('Simple reply message',
 * 'Structured reply chunk message'). Consumes the data that the request holds, and does not flush
 * the channel.
 */
final class ReplyWriter {
    private static final int ZERO_BLOCK_BYTES = 1 << 16;
    private static final ByteBuf ZEROES =
            Unpooled.unreleasableBuffer(
                    Unpooled.directBuffer(ZERO_BLOCK_BYTES)
                            .writeZero(ZERO_BLOCK_BYTES)
                            .asReadOnly());

    private ReplyWriter() {}

    /** Writes a simple reply, with all data of a read in one piece. */
    static ChannelFuture writeSimple(Channel channel, PendingRequest request) {
        int error = request.mostSevereError();
        if (error != 0) {
            request.release();
        }
        return NbdReplies.simple(
                channel, request.command.cookie(), error, joinChunks(channel, request));
    }

    /**
     * Writes a structured reply with one chunk for each result. With NBD_CMD_FLAG_DF the data of a
     * read is joined into one chunk, and left out if there is an error.
     */
    static ChannelFuture writeStructured(Channel channel, PendingRequest request) {
        long cookie = request.command.cookie();
        boolean singleChunk = (request.command.flags() & NbdConstants.CMD_FLAG_DF) != 0;
        if (request.blockDescriptors != null && !request.hasFailed()) {
            return NbdReplies.blockStatus(
                    channel, cookie, request.blockDescriptors, request.blockDescriptors.length);
        }
        if (singleChunk && request.hasFailed()) {
            request.release();
        }
        if (singleChunk && !request.hasFailed()) {
            ByteBuf data = joinChunks(channel, request);
            return NbdReplies.data(channel, cookie, request.command.offset(), data, true);
        }
        if (request.readChunks.isEmpty() && !request.hasFailed()) {
            return NbdReplies.done(channel, cookie);
        }
        return writeChunks(channel, request);
    }

    private static ChannelFuture writeChunks(Channel channel, PendingRequest request) {
        long cookie = request.command.cookie();
        List<PendingRequest.RequestError> errors = request.reportedErrors();
        int remaining = request.readChunks.size() + errors.size();
        ChannelFuture written = null;
        for (PendingRequest.ReadChunk chunk : request.readChunks) {
            boolean last = --remaining == 0;
            written =
                    chunk.data() == null
                            ? NbdReplies.hole(channel, cookie, chunk.offset(), chunk.length(), last)
                            : NbdReplies.data(channel, cookie, chunk.offset(), chunk.data(), last);
        }
        request.readChunks.clear();
        for (PendingRequest.RequestError error : errors) {
            boolean last = --remaining == 0;
            written =
                    NbdReplies.error(
                            channel, cookie, error.error(), error.message(), error.offset(), last);
        }
        return written;
    }

    /** Joins the data of a read in order, with holes as zeroes. The caller owns the result. */
    private static ByteBuf joinChunks(Channel channel, PendingRequest request) {
        if (request.readChunks.size() == 1 && request.readChunks.get(0).data() != null) {
            return request.readChunks.remove(0).data();
        }
        if (request.readChunks.isEmpty()) {
            return Unpooled.EMPTY_BUFFER;
        }
        request.readChunks.sort(Comparator.comparingLong(PendingRequest.ReadChunk::offset));
        CompositeByteBuf joined = channel.alloc().compositeBuffer(Integer.MAX_VALUE);
        for (PendingRequest.ReadChunk chunk : request.readChunks) {
            if (chunk.data() != null) {
                joined.addComponent(true, chunk.data());
            } else {
                addZeroes(joined, chunk.length());
            }
        }
        request.readChunks.clear();
        return joined;
    }

    private static void addZeroes(CompositeByteBuf joined, int length) {
        for (int remaining = length; remaining > 0; remaining -= ZERO_BLOCK_BYTES) {
            joined.addComponent(
                    true, ZEROES.duplicate().slice(0, Math.min(remaining, ZERO_BLOCK_BYTES)));
        }
    }
}
