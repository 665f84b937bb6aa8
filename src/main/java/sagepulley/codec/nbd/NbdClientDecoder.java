package sagepulley.codec.nbd;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import java.nio.charset.StandardCharsets;
import sagepulley.codec.frame.MalformedMessageException;
import sagepulley.codec.frame.SegmentDecoder;

/**
 * Decodes the messages of a server. The receiver of a message owns its data. Malformed bytes end
 * the connection.
 */
final class NbdClientDecoder extends SegmentDecoder {
    private static final int GREETING_BYTES = 18;
    private static final int OPTION_HEAD_BYTES = 20;
    private static final int EXPORT_BYTES = 10;
    private static final int EXPORT_ZERO_BYTES = 124;
    private static final int MAGIC_BYTES = 4;
    private static final int SIMPLE_REPLY_BYTES = 12;
    private static final int CHUNK_HEAD_BYTES = 16;
    private static final int MAX_OPTION_REPLY_BYTES = 64 << 10;
    private static final int MAX_CHUNK_BYTES = (64 << 20) + 64;

    /** A reply to an option. */
    record OptionReply(int option, int type, ByteBuf data) {}

    /** A simple reply. */
    record SimpleReply(long cookie, int error, ByteBuf data) {}

    /** A chunk of a structured reply with a validated length. */
    record Chunk(
            boolean done,
            int type,
            long cookie,
            long offset,
            int error,
            String message,
            ByteBuf data) {}

    /** Provides the length of the data that follows a simple reply. */
    interface DataLengths {
        /**
         * Returns the data length in bytes of a simple reply without an error, or -1 for an unknown
         * cookie.
         */
        int dataLength(long cookie);
    }

    private enum Phase {
        GREETING,
        OPTION,
        OPTION_DATA,
        EXPORT,
        MAGIC,
        SIMPLE,
        SIMPLE_DATA,
        CHUNK,
        CHUNK_DATA
    }

    private final DataLengths dataLengths;
    private Phase phase = Phase.GREETING;
    private OptionReply option;
    private SimpleReply simple;
    private Chunk chunk;

    NbdClientDecoder(DataLengths dataLengths) {
        this.dataLengths = dataLengths;
        expect(GREETING_BYTES);
    }

    /**
     * Expects the reply to NBD_OPT_EXPORT_NAME: size and flags without a head, followed by zero
     * padding unless both sides have set NBD_FLAG_NO_ZEROES.
     */
    void expectExport(boolean zeroes) {
        expectNext(Phase.EXPORT, zeroes ? EXPORT_BYTES + EXPORT_ZERO_BYTES : EXPORT_BYTES);
    }

    /** Expects replies of the transmission phase from now on. */
    void startTransmission() {
        expectNext(Phase.MAGIC, MAGIC_BYTES);
    }

    private void expectNext(Phase nextPhase, int bytes) {
        phase = nextPhase;
        expect(bytes);
    }

    @Override
    protected void segmentReceived(ChannelHandlerContext ctx, ByteBuf segment)
            throws MalformedMessageException {
        switch (phase) {
            case GREETING -> greetingReceived(ctx, segment);
            case OPTION -> optionHead(segment);
            case OPTION_DATA -> {
                expectNext(Phase.OPTION, OPTION_HEAD_BYTES);
                ctx.fireChannelRead(new OptionReply(option.option(), option.type(), segment));
            }
            case EXPORT -> {
                startTransmission();
                ctx.fireChannelRead(
                        new OptionReply(
                                NbdConstants.OPT_EXPORT_NAME, NbdConstants.REP_ACK, segment));
            }
            case MAGIC -> replyMagic(segment);
            case SIMPLE -> simpleReplyHead(segment);
            case SIMPLE_DATA -> {
                startTransmission();
                ctx.fireChannelRead(new SimpleReply(simple.cookie(), simple.error(), segment));
            }
            case CHUNK -> chunkHead(segment);
            case CHUNK_DATA -> {
                startTransmission();
                ctx.fireChannelRead(parseChunk(segment));
            }
        }
    }

    private void greetingReceived(ChannelHandlerContext ctx, ByteBuf segment)
            throws MalformedMessageException {
        boolean hasValidMagic =
                segment.readLong() == NbdConstants.NBDMAGIC
                        && segment.readLong() == NbdConstants.IHAVEOPT;
        int flags = segment.readUnsignedShort();
        segment.release();
        if (!hasValidMagic || (flags & NbdConstants.FLAG_FIXED_NEWSTYLE) == 0) {
            throw new MalformedMessageException(
                    "server does not support fixed newstyle negotiation");
        }
        expectNext(Phase.OPTION, OPTION_HEAD_BYTES);
        ctx.fireChannelRead(flags);
    }

    private void optionHead(ByteBuf segment) throws MalformedMessageException {
        boolean hasValidMagic = segment.readLong() == NbdConstants.OPTION_REPLY_MAGIC;
        option = new OptionReply(segment.readInt(), segment.readInt(), null);
        int length = segment.readInt();
        segment.release();
        if (!hasValidMagic || length < 0 || length > MAX_OPTION_REPLY_BYTES) {
            throw new MalformedMessageException(
                    "malformed reply to option "
                            + option.option()
                            + " with "
                            + Integer.toUnsignedString(length)
                            + " bytes");
        }
        expectNext(Phase.OPTION_DATA, length);
    }

    private void replyMagic(ByteBuf segment) throws MalformedMessageException {
        int magic = segment.readInt();
        segment.release();
        if (magic == NbdConstants.SIMPLE_REPLY_MAGIC) {
            expectNext(Phase.SIMPLE, SIMPLE_REPLY_BYTES);
        } else if (magic == NbdConstants.STRUCTURED_REPLY_MAGIC) {
            expectNext(Phase.CHUNK, CHUNK_HEAD_BYTES);
        } else {
            throw new MalformedMessageException(
                    "unknown reply magic 0x" + Integer.toHexString(magic));
        }
    }

    private void simpleReplyHead(ByteBuf segment) throws MalformedMessageException {
        int error = segment.readInt();
        long cookie = segment.readLong();
        segment.release();
        int length = dataLengths.dataLength(cookie);
        if (length < 0) {
            throw new MalformedMessageException("reply to unknown cookie " + cookie);
        }
        simple = new SimpleReply(cookie, error, null);
        expectNext(Phase.SIMPLE_DATA, error == 0 ? length : 0);
    }

    private void chunkHead(ByteBuf segment) throws MalformedMessageException {
        int flags = segment.readUnsignedShort();
        int type = segment.readUnsignedShort();
        long cookie = segment.readLong();
        int length = segment.readInt();
        segment.release();
        if (length < 0 || length > MAX_CHUNK_BYTES || dataLengths.dataLength(cookie) < 0) {
            throw new MalformedMessageException(
                    "invalid chunk of "
                            + Integer.toUnsignedString(length)
                            + " bytes for cookie "
                            + cookie);
        }
        boolean done = (flags & NbdConstants.CHUNK_DONE) != 0;
        chunk = new Chunk(done, type, cookie, -1, 0, "", null);
        expectNext(Phase.CHUNK_DATA, length);
    }

    /** Parses the data of the chunk whose head was read last ('Structured reply types'). */
    private Chunk parseChunk(ByteBuf data) throws MalformedMessageException {
        int type = chunk.type();
        if (!hasValidLength(type, data)) {
            int length = data.readableBytes();
            data.release();
            throw new MalformedMessageException(
                    "invalid chunk of type " + type + " with " + length + " bytes");
        }
        if (isError(type)) {
            return parseError(data);
        }
        boolean hasOffset =
                type == NbdConstants.CHUNK_OFFSET_DATA || type == NbdConstants.CHUNK_OFFSET_HOLE;
        long offset = hasOffset ? data.readLong() : -1;
        return new Chunk(chunk.done(), type, chunk.cookie(), offset, 0, "", data);
    }

    private Chunk parseError(ByteBuf data) {
        int error = data.readInt();
        String message =
                data.readCharSequence(data.readUnsignedShort(), StandardCharsets.UTF_8).toString();
        long offset = chunk.type() == NbdConstants.CHUNK_ERROR_OFFSET ? data.readLong() : -1;
        data.release();
        return new Chunk(chunk.done(), chunk.type(), chunk.cookie(), offset, error, message, null);
    }

    private static boolean hasValidLength(int type, ByteBuf data) {
        int length = data.readableBytes();
        int minBytes = minBytes(type);
        if (minBytes < 0 || length < minBytes) {
            return false;
        }
        if (isError(type)) {
            int messageBytes = data.getUnsignedShort(data.readerIndex() + 4);
            return length == minBytes + messageBytes;
        }
        boolean isVariableLength =
                type == NbdConstants.CHUNK_OFFSET_DATA || type == NbdConstants.CHUNK_BLOCK_STATUS;
        return isVariableLength || length == minBytes;
    }

    /** Returns the minimum length of a chunk's data, or -1 for an unknown type. */
    private static int minBytes(int type) {
        return switch (type) {
            case NbdConstants.CHUNK_NONE -> 0;
            case NbdConstants.CHUNK_OFFSET_DATA -> 9;
            case NbdConstants.CHUNK_OFFSET_HOLE, NbdConstants.CHUNK_BLOCK_STATUS -> 12;
            case NbdConstants.CHUNK_ERROR -> 6;
            case NbdConstants.CHUNK_ERROR_OFFSET -> 14;
            default -> -1;
        };
    }

    private static boolean isError(int type) {
        return (type & 0x8000) != 0;
    }
}
