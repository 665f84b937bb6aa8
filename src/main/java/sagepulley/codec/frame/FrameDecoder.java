package sagepulley.codec.frame;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;

/** Reads frames; a frame that is malformed, too long or fails its checksum ends the connection. */
public final class FrameDecoder extends SegmentDecoder {
    private final int longestPayload;
    private final Crc32c crc = new Crc32c();
    private boolean inBody;
    private int type;
    private long id;
    private int headLength;
    private int payloadLength;

    /** Takes payloads of up to so many bytes. */
    public FrameDecoder(int longestPayload) {
        this.longestPayload = longestPayload;
        expect(Frame.PREFIX);
    }

    @Override
    protected void piece(ChannelHandlerContext ctx, ByteBuf piece)
            throws MalformedMessageException {
        if (inBody) {
            inBody = false;
            expect(Frame.PREFIX);
            body(ctx, piece);
        } else {
            try {
                prefix(piece);
            } finally {
                piece.release();
            }
        }
    }

    private void prefix(ByteBuf piece) throws MalformedMessageException {
        int magic = piece.getUnsignedShort(0);
        if (magic != Frame.MAGIC) {
            throw new MalformedMessageException(
                    "frame starts with 0x" + Integer.toHexString(magic));
        }
        if (piece.getByte(2) != Frame.VERSION) {
            throw new MalformedMessageException(
                    "frame of version " + piece.getUnsignedByte(2) + ", known is " + Frame.VERSION);
        }
        if (crc.start().add(piece, piece.readerIndex(), Frame.PREFIX - 4).value()
                != piece.getInt(20)) {
            throw new MalformedMessageException("frame prefix fails its checksum");
        }
        type = piece.getUnsignedByte(3);
        headLength = piece.getInt(4);
        payloadLength = piece.getInt(8);
        id = piece.getLong(12);
        if (headLength < 0 || headLength > Frame.MAX_HEAD_BYTES) {
            throw new MalformedMessageException(
                    "frame head of "
                            + Integer.toUnsignedString(headLength)
                            + " bytes, at most "
                            + Frame.MAX_HEAD_BYTES);
        }
        if (payloadLength < 0 || payloadLength > longestPayload) {
            throw new MalformedMessageException(
                    "frame payload of "
                            + Integer.toUnsignedString(payloadLength)
                            + " bytes, at most "
                            + longestPayload);
        }
        inBody = true;
        expect(headLength + payloadLength + Frame.SUFFIX);
    }

    private void body(ChannelHandlerContext ctx, ByteBuf piece) throws MalformedMessageException {
        int length = headLength + payloadLength;
        int start = piece.readerIndex();
        if (crc.start().add(piece, start, length).value() != piece.getInt(start + length)) {
            piece.release();
            throw new MalformedMessageException("frame fails its checksum");
        }
        ByteBuf head = piece.readRetainedSlice(headLength);
        ByteBuf payload = piece.readRetainedSlice(payloadLength);
        piece.release();
        ctx.fireChannelRead(new Frame(type, id, head, payload));
    }
}
