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
    private static final int LONGEST_OPTION_REPLY = 64 << 10;
    private static final int LONGEST_CHUNK = (64 << 20) + 64;

    /** An answer to an option. */
    record OptionReply(int option, int type, ByteBuf data) {}

    /** A simple reply. */
    record Simple(long cookie, int error, ByteBuf data) {}

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
    interface Expected {
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

    private final Expected expected;
    private Phase phase = Phase.GREETING;
    private OptionReply option;
    private Simple simple;
    private Chunk chunk;

    NbdClientDecoder(Expected expected) {
        this.expected = expected;
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
    protected void piece(ChannelHandlerContext ctx, ByteBuf piece)
            throws MalformedMessageException {
        switch (phase) {
            case GREETING -> {
                boolean known =
                        piece.readLong() == NbdConstants.NBDMAGIC
                                && piece.readLong() == NbdConstants.IHAVEOPT;
                int flags = piece.readUnsignedShort();
                piece.release();
                if (!known || (flags & NbdConstants.FLAG_FIXED_NEWSTYLE) == 0) {
                    throw new MalformedMessageException("not a server of fixed newstyle");
                }
                next(Phase.OPTION, 20);
                ctx.fireChannelRead(flags);
            }
            case OPTION -> {
                boolean known = piece.readLong() == NbdConstants.OPTION_REPLY_MAGIC;
                option = new OptionReply(piece.readInt(), piece.readInt(), null);
                int length = piece.readInt();
                piece.release();
                if (!known || length < 0 || length > LONGEST_OPTION_REPLY) {
                    throw new MalformedMessageException("malformed option reply");
                }
                next(Phase.OPTION_DATA, length);
            }
            case OPTION_DATA -> {
                next(Phase.OPTION, 20);
                ctx.fireChannelRead(new OptionReply(option.option(), option.type(), piece));
            }
            case EXPORT -> {
                startTransmission();
                ctx.fireChannelRead(
                        new OptionReply(NbdConstants.OPT_EXPORT_NAME, NbdConstants.REP_ACK, piece));
            }
            case MAGIC -> {
                int magic = piece.readInt();
                piece.release();
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
                int error = piece.readInt();
                long cookie = piece.readLong();
                piece.release();
                int length = expected.dataLength(cookie);
                if (length < 0) {
                    throw new MalformedMessageException("reply to unknown cookie " + cookie);
                }
                simple = new Simple(cookie, error, null);
                next(Phase.SIMPLE_DATA, error == 0 ? length : 0);
            }
            case SIMPLE_DATA -> {
                startTransmission();
                ctx.fireChannelRead(new Simple(simple.cookie(), simple.error(), piece));
            }
            case CHUNK -> {
                int flags = piece.readUnsignedShort();
                int type = piece.readUnsignedShort();
                long cookie = piece.readLong();
                int length = piece.readInt();
                piece.release();
                if (length < 0 || length > LONGEST_CHUNK || expected.dataLength(cookie) < 0) {
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
                ctx.fireChannelRead(whole(piece));
            }
        }
    }

    private Chunk whole(ByteBuf piece) throws MalformedMessageException {
        int type = chunk.type();
        int least =
                switch (type) {
                    case NbdConstants.CHUNK_NONE -> 0;
                    case NbdConstants.CHUNK_OFFSET_DATA -> 9;
                    case NbdConstants.CHUNK_OFFSET_HOLE, NbdConstants.CHUNK_BLOCK_STATUS -> 12;
                    case NbdConstants.CHUNK_ERROR -> 6;
                    case NbdConstants.CHUNK_ERROR_OFFSET -> 14;
                    default -> -1;
                };
        boolean error = (type & 0x8000) != 0;
        int size = piece.readableBytes();
        boolean fits =
                least >= 0
                        && size >= least
                        && (error
                                || type == NbdConstants.CHUNK_OFFSET_DATA
                                || type == NbdConstants.CHUNK_BLOCK_STATUS
                                || size == least);
        if (fits && error) {
            fits = size == least + piece.getUnsignedShort(piece.readerIndex() + 4);
        }
        if (!fits) {
            piece.release();
            throw new MalformedMessageException(
                    "chunk of type " + type + " with " + size + " bytes");
        }
        if (error) {
            int number = piece.readInt();
            String message =
                    piece.readCharSequence(piece.readUnsignedShort(), StandardCharsets.UTF_8)
                            .toString();
            long offset = type == NbdConstants.CHUNK_ERROR_OFFSET ? piece.readLong() : -1;
            piece.release();
            return new Chunk(chunk.done(), type, chunk.cookie(), offset, number, message, null);
        }
        boolean placed =
                type == NbdConstants.CHUNK_OFFSET_DATA || type == NbdConstants.CHUNK_OFFSET_HOLE;
        return new Chunk(
                chunk.done(), type, chunk.cookie(), placed ? piece.readLong() : -1, 0, "", piece);
    }
}
