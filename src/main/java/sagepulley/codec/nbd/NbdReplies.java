package sagepulley.codec.nbd;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.nio.charset.StandardCharsets;

/**
 * Writes replies of the transmission phase ('Simple reply message', 'Structured reply chunk
 * message') to a channel without flushing. Takes ownership of payloads.
 */
public final class NbdReplies {
    private NbdReplies() {}

    /** Writes a simple reply; the data is empty except for a successful read. */
    public static ChannelFuture simple(Channel channel, long cookie, int error, ByteBuf data) {
        ByteBuf head =
                channel.alloc()
                        .ioBuffer(16)
                        .writeInt(NbdConstants.SIMPLE_REPLY_MAGIC)
                        .writeInt(error)
                        .writeLong(cookie);
        return writeWithData(channel, head, data);
    }

    /** Writes the final chunk of a successful request. */
    public static ChannelFuture done(Channel channel, long cookie) {
        return channel.write(
                chunkHead(channel, NbdConstants.CHUNK_DONE, NbdConstants.CHUNK_NONE, cookie, 0));
    }

    /** Writes a chunk of data at an offset of the export. */
    public static ChannelFuture data(
            Channel channel, long cookie, long offset, ByteBuf data, boolean last) {
        ByteBuf head =
                chunkHead(
                                channel,
                                last ? NbdConstants.CHUNK_DONE : 0,
                                NbdConstants.CHUNK_OFFSET_DATA,
                                cookie,
                                8 + data.readableBytes())
                        .writeLong(offset);
        return writeWithData(channel, head, data);
    }

    /** Writes a chunk for a range of zeroes at an offset of the export. */
    public static ChannelFuture hole(
            Channel channel, long cookie, long offset, int length, boolean last) {
        return channel.write(
                chunkHead(
                                channel,
                                last ? NbdConstants.CHUNK_DONE : 0,
                                NbdConstants.CHUNK_OFFSET_HOLE,
                                cookie,
                                12)
                        .writeLong(offset)
                        .writeInt(length));
    }

    /**
     * Writes the block status of base:allocation as alternating lengths and flags.
     *
     * @param count the number of elements of {@code lengthsAndFlags} to write
     */
    public static ChannelFuture blockStatus(
            Channel channel, long cookie, int[] lengthsAndFlags, int count) {
        ByteBuf head =
                chunkHead(
                                channel,
                                NbdConstants.CHUNK_DONE,
                                NbdConstants.CHUNK_BLOCK_STATUS,
                                cookie,
                                4 + 4 * count)
                        .writeInt(NbdConstants.BASE_ALLOCATION_ID);
        for (int i = 0; i < count; i++) {
            head.writeInt(lengthsAndFlags[i]);
        }
        return channel.write(head);
    }

    /**
     * Writes an error chunk with a message, and with the offset of the error unless it is negative.
     */
    public static ChannelFuture error(
            Channel channel, long cookie, int error, String message, long offset, boolean last) {
        byte[] text = message.getBytes(StandardCharsets.UTF_8);
        int length = Math.min(text.length, NbdConstants.MAX_STRING_BYTES);
        boolean hasOffset = offset >= 0;
        ByteBuf head =
                chunkHead(
                                channel,
                                last ? NbdConstants.CHUNK_DONE : 0,
                                hasOffset
                                        ? NbdConstants.CHUNK_ERROR_OFFSET
                                        : NbdConstants.CHUNK_ERROR,
                                cookie,
                                6 + length + (hasOffset ? 8 : 0))
                        .writeInt(error)
                        .writeShort(length)
                        .writeBytes(text, 0, length);
        return channel.write(hasOffset ? head.writeLong(offset) : head);
    }

    private static ByteBuf chunkHead(
            Channel channel, int flags, int type, long cookie, int length) {
        return channel.alloc()
                .ioBuffer(32)
                .writeInt(NbdConstants.STRUCTURED_REPLY_MAGIC)
                .writeShort(flags)
                .writeShort(type)
                .writeLong(cookie)
                .writeInt(length);
    }

    private static ChannelFuture writeWithData(Channel channel, ByteBuf head, ByteBuf data) {
        if (!data.isReadable()) {
            data.release();
            return channel.write(head);
        }
        channel.write(head);
        return channel.write(data);
    }
}
