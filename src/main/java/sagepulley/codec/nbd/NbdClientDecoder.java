package sagepulley.codec.nbd;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import java.nio.charset.StandardCharsets;
import sagepulley.codec.frame.MalformedMessageException;
import sagepulley.codec.frame.SegmentDecoder;

/**
 * What a server sends, cut into its messages; the client says of each cookie how long its data is.
 */
final class NbdClientDecoder extends SegmentDecoder {
    private static final int MAX_OPTION_REPLY_BYTES = 64 << 10;
    private static final int MAX_CHUNK_BYTES = (64 << 20) + 64;

    /** An answer to an option. */
    record OptionReply(int option, int type, ByteBuf data) {}

    /** A simple reply. */
    record SimpleReply(long cookie, int error, ByteBuf data) {}

    /** A chunk of a structured reply, checked for its shape. */
    record Chunk(
            boolean done,
            int type,
            long cookie,
            long offset,
            int error,
            String message,
            ByteBuf data) {}

    /** Tells how much data follows a simple reply without error, or -1 for an unknown cookie. */
    interface DataLengths {
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
        expect(18);
    }

    /**
     * After NBD_OPT_EXPORT_NAME the server sends size and flags with no head; zeroes unless given
     * up.
     */
    void expectExport(boolean zeroes) {
        next(Phase.EXPORT, zeroes ? 134 : 10);
    }

    void startTransmission() {
        next(Phase.MAGIC, 4);
    }

    private void next(Phase what, int bytes) {
        phase = what;
        expect(bytes);
    }

    @Override
    protected void segmentReceived(ChannelHandlerContext ctx, ByteBuf segment)
            throws MalformedMessageException {
        switch (phase) {
            case GREETING -> {
                boolean known =
                        segment.readLong() == NbdConstants.NBDMAGIC
                                && segment.readLong() == NbdConstants.IHAVEOPT;
                int flags = segment.readUnsignedShort();
                segment.release();
                if (!known || (flags & NbdConstants.FLAG_FIXED_NEWSTYLE) == 0) {
                    throw new MalformedMessageException("not a server of fixed newstyle");
                }
                next(Phase.OPTION, 20);
                ctx.fireChannelRead(flags);
            }
            case OPTION -> {
                boolean known = segment.readLong() == NbdConstants.OPTION_REPLY_MAGIC;
                option = new OptionReply(segment.readInt(), segment.readInt(), null);
                int length = segment.readInt();
                segment.release();
                if (!known || length < 0 || length > MAX_OPTION_REPLY_BYTES) {
                    throw new MalformedMessageException("malformed option reply");
                }
                next(Phase.OPTION_DATA, length);
            }
            case OPTION_DATA -> {
                next(Phase.OPTION, 20);
                ctx.fireChannelRead(new OptionReply(option.option(), option.type(), segment));
            }
            case EXPORT -> {
                startTransmission();
                ctx.fireChannelRead(
                        new OptionReply(
                                NbdConstants.OPT_EXPORT_NAME, NbdConstants.REP_ACK, segment));
            }
            case MAGIC -> {
                int magic = segment.readInt();
                segment.release();
                if (magic == NbdConstants.SIMPLE_REPLY_MAGIC) {
                    next(Phase.SIMPLE, 12);
                } else if (magic == NbdConstants.STRUCTURED_REPLY_MAGIC) {
                    next(Phase.CHUNK, 16);
                } else {
                    throw new MalformedMessageException(
                            "reply starts with 0x" + Integer.toHexString(magic));
                }
            }
            case SIMPLE -> {
                int error = segment.readInt();
                long cookie = segment.readLong();
                segment.release();
                int length = dataLengths.dataLength(cookie);
                if (length < 0) {
                    throw new MalformedMessageException("reply to unknown cookie " + cookie);
                }
                simple = new SimpleReply(cookie, error, null);
                next(Phase.SIMPLE_DATA, error == 0 ? length : 0);
            }
            case SIMPLE_DATA -> {
                startTransmission();
                ctx.fireChannelRead(new SimpleReply(simple.cookie(), simple.error(), segment));
            }
            case CHUNK -> {
                int flags = segment.readUnsignedShort();
                int type = segment.readUnsignedShort();
                long cookie = segment.readLong();
                int length = segment.readInt();
                segment.release();
                if (length < 0 || length > MAX_CHUNK_BYTES || dataLengths.dataLength(cookie) < 0) {
                    throw new MalformedMessageException(
                            "chunk of "
                                    + Integer.toUnsignedString(length)
                                    + " bytes for cookie "
                                    + cookie);
                }
                chunk =
                        new Chunk(
                                (flags & NbdConstants.CHUNK_DONE) != 0,
                                type,
                                cookie,
                                -1,
                                0,
                                "",
                                null);
                next(Phase.CHUNK_DATA, length);
            }
            case CHUNK_DATA -> {
                startTransmission();
                ctx.fireChannelRead(parseChunk(segment));
            }
        }
    }

    private Chunk parseChunk(ByteBuf segment) throws MalformedMessageException {
        int type = chunk.type();
        int minBytes =
                switch (type) {
                    case NbdConstants.CHUNK_NONE -> 0;
                    case NbdConstants.CHUNK_OFFSET_DATA -> 9;
                    case NbdConstants.CHUNK_OFFSET_HOLE, NbdConstants.CHUNK_BLOCK_STATUS -> 12;
                    case NbdConstants.CHUNK_ERROR -> 6;
                    case NbdConstants.CHUNK_ERROR_OFFSET -> 14;
                    default -> -1;
                };
        boolean error = (type & 0x8000) != 0;
        int size = segment.readableBytes();
        boolean fits =
                minBytes >= 0
                        && size >= minBytes
                        && (error
                                || type == NbdConstants.CHUNK_OFFSET_DATA
                                || type == NbdConstants.CHUNK_BLOCK_STATUS
                                || size == minBytes);
        if (fits && error) {
            fits = size == minBytes + segment.getUnsignedShort(segment.readerIndex() + 4);
        }
        if (!fits) {
            segment.release();
            throw new MalformedMessageException(
                    "chunk of type " + type + " with " + size + " bytes");
        }
        if (error) {
            int number = segment.readInt();
            String message =
                    segment.readCharSequence(segment.readUnsignedShort(), StandardCharsets.UTF_8)
                            .toString();
            long offset = type == NbdConstants.CHUNK_ERROR_OFFSET ? segment.readLong() : -1;
            segment.release();
            return new Chunk(chunk.done(), type, chunk.cookie(), offset, number, message, null);
        }
        boolean placed =
                type == NbdConstants.CHUNK_OFFSET_DATA || type == NbdConstants.CHUNK_OFFSET_HOLE;
        return new Chunk(
                chunk.done(),
                type,
                chunk.cookie(),
                placed ? segment.readLong() : -1,
                0,
                "",
                segment);
    }
}
