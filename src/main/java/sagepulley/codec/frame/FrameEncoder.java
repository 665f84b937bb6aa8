package sagepulley.codec.frame;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;

/** Encodes frames, taking ownership of their buffers. Payloads are written without copying. */
public final class FrameEncoder extends ChannelOutboundHandlerAdapter {
    private final Crc32c crc = new Crc32c();

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        Frame frame = (Frame) message;
        int headLength = frame.head().readableBytes();
        int payloadLength = frame.payload().readableBytes();
        boolean hasPayload = payloadLength > 0;
        ByteBuf prefixAndHead =
                ctx.alloc()
                        .ioBuffer(
                                Frame.PREFIX_BYTES
                                        + headLength
                                        + (hasPayload ? 0 : Frame.SUFFIX_BYTES));
        prefixAndHead
                .writeShort(Frame.MAGIC)
                .writeByte(Frame.VERSION)
                .writeByte(frame.type())
                .writeInt(headLength)
                .writeInt(payloadLength)
                .writeLong(frame.id());
        prefixAndHead.writeInt(crc.start().add(prefixAndHead, 0, Frame.PREFIX_BYTES - 4).value());
        crc.start()
                .add(frame.head(), frame.head().readerIndex(), headLength)
                .add(frame.payload(), frame.payload().readerIndex(), payloadLength);
        prefixAndHead.writeBytes(frame.head());
        frame.head().release();
        if (!hasPayload) {
            frame.payload().release();
            ctx.write(prefixAndHead.writeInt(crc.value()), promise);
            return;
        }
        ctx.write(prefixAndHead);
        ctx.write(frame.payload());
        ctx.write(ctx.alloc().ioBuffer(Frame.SUFFIX_BYTES).writeInt(crc.value()), promise);
    }
}
