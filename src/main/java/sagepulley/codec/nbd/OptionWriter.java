package sagepulley.codec.nbd;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import java.nio.charset.StandardCharsets;

/** Writes and flushes the options of a client ('Option types'). */
final class OptionWriter {
    private static final int OPTION_HEAD_BYTES = 16;

    private OptionWriter() {}

    /** Writes NBD_OPT_EXPORT_NAME, which selects an export and ends the negotiation. */
    static void exportName(ChannelHandlerContext ctx, String export) {
        write(ctx, NbdConstants.OPT_EXPORT_NAME, ByteBufUtil.writeUtf8(ctx.alloc(), export));
    }

    /** Writes NBD_OPT_STRUCTURED_REPLY. */
    static void structuredReply(ChannelHandlerContext ctx) {
        write(ctx, NbdConstants.OPT_STRUCTURED_REPLY, Unpooled.EMPTY_BUFFER);
    }

    /** Writes NBD_OPT_SET_META_CONTEXT, which selects base:allocation. */
    static void setMetaContext(ChannelHandlerContext ctx, String export) {
        ByteBuf data = ctx.alloc().ioBuffer();
        writeString(data, export);
        writeString(data.writeInt(1), NbdConstants.BASE_ALLOCATION);
        write(ctx, NbdConstants.OPT_SET_META_CONTEXT, data);
    }

    /** Writes NBD_OPT_GO, which selects an export and requests its block sizes. */
    static void go(ChannelHandlerContext ctx, String export) {
        ByteBuf data = ctx.alloc().ioBuffer();
        writeString(data, export);
        data.writeShort(1).writeShort(NbdConstants.INFO_BLOCK_SIZE);
        write(ctx, NbdConstants.OPT_GO, data);
    }

    private static void writeString(ByteBuf data, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        data.writeInt(bytes.length).writeBytes(bytes);
    }

    private static void write(ChannelHandlerContext ctx, int code, ByteBuf data) {
        ctx.write(
                ctx.alloc()
                        .ioBuffer(OPTION_HEAD_BYTES)
                        .writeLong(NbdConstants.IHAVEOPT)
                        .writeInt(code)
                        .writeInt(data.readableBytes()));
        ctx.writeAndFlush(data);
    }
}
