package sagepulley.codec.frame;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;

/** Decodes frames. A frame that is malformed, too long or fails a checksum ends the connection. */
public final class FrameDecoder extends SegmentDecoder {
    private final int maxPayloadBytes;
    private final Crc32c crc = new Crc32c();
    private boolean inBody;
    private int type;
    private long id;
    private int headLength;
    private int payloadLength;

    /** Creates a decoder that accepts payloads of up to {@code maxPayloadBytes}. */
    public FrameDecoder(int maxPayloadBytes) {
        this.maxPayloadBytes = maxPayloadBytes;
        expect(Frame.PREFIX_BYTES);
    }

    @Override
    protected void segmentReceived(ChannelHandlerContext ctx, ByteBuf segment)
            throws MalformedMessageException {
        if (inBody) {
            inBody = false;
            expect(Frame.PREFIX_BYTES);
            readBody(ctx, segment);
        } else {
            try {
                readPrefix(segment);
            } finally {
                segment.release();
            }
        }
    }

    private void readPrefix(ByteBuf segment) throws MalformedMessageException {
        int magic = segment.getUnsignedShort(0);
        if (magic != Frame.MAGIC) {
            throw new MalformedMessageException(
                    "unknown frame magic 0x" + Integer.toHexString(magic));
        }
        if (segment.getByte(2) != Frame.VERSION) {
            throw new MalformedMessageException(
                    "unsupported frame version "
                            + segment.getUnsignedByte(2)
                            + ", expected "
                            + Frame.VERSION);
        }
        if (crc.start().add(segment, segment.readerIndex(), Frame.PREFIX_BYTES - 4).value()
                != segment.getInt(20)) {
            throw new MalformedMessageException("frame prefix checksum mismatch");
        }
        type = segment.getUnsignedByte(3);
        headLength = segment.getInt(4);
        payloadLength = segment.getInt(8);
        id = segment.getLong(12);
        if (headLength < 0 || headLength > Frame.MAX_HEAD_BYTES) {
            throw new MalformedMessageException(
                    "frame head of "
                            + Integer.toUnsignedString(headLength)
                            + " bytes, expected at most "
                            + Frame.MAX_HEAD_BYTES);
        }
        if (payloadLength < 0 || payloadLength > maxPayloadBytes) {
            throw new MalformedMessageException(
                    "frame payload of "
                            + Integer.toUnsignedString(payloadLength)
                            + " bytes, expected at most "
                            + maxPayloadBytes);
        }
        inBody = true;
        expect(headLength + payloadLength + Frame.SUFFIX_BYTES);
    }

    private void readBody(ChannelHandlerContext ctx, ByteBuf segment)
            throws MalformedMessageException {
        int length = headLength + payloadLength;
        int start = segment.readerIndex();
        if (crc.start().add(segment, start, length).value() != segment.getInt(start + length)) {
            segment.release();
            throw new MalformedMessageException("frame checksum mismatch");
        }
        ByteBuf head = segment.readRetainedSlice(headLength);
        ByteBuf payload = segment.readRetainedSlice(payloadLength);
        segment.release();
        ctx.fireChannelRead(new Frame(type, id, head, payload));
    }
}
