package sagepulley.codec.nbd;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import sagepulley.codec.frame.MalformedMessageException;

/**
 * The server side of fixed newstyle negotiation ('Fixed newstyle negotiation'). Replies to options
 * until the client has chosen an export, then passes requests on. Owns the data of each option;
 * confined to the connection's event loop.
 */
final class Handshake extends ChannelInboundHandlerAdapter {
    /** The maximum number of options that a client may send before it chooses an export. */
    private static final int MAX_OPTIONS = 256;

    private static final int EXPORT_NAME_PADDING_BYTES = 124;

    private final Exports exports;
    private final NbdServerDecoder decoder;
    private int clientFlags;
    private int optionCount;
    private boolean structured;

    /** The export for which base:allocation is selected, or null. */
    private String baseAllocationExport;

    private boolean finished;

    Handshake(Exports exports, NbdServerDecoder decoder) {
        this.exports = exports;
        this.decoder = decoder;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        ctx.writeAndFlush(
                ctx.alloc()
                        .ioBuffer(18)
                        .writeLong(NbdConstants.NBDMAGIC)
                        .writeLong(NbdConstants.IHAVEOPT)
                        .writeShort(
                                NbdConstants.FLAG_FIXED_NEWSTYLE | NbdConstants.FLAG_NO_ZEROES));
        ctx.fireChannelActive();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (finished) {
            ctx.fireChannelRead(message);
        } else if (message instanceof Integer flags) {
            clientFlags = flags;
            // 'Client flags': unknown flags end the session.
            if ((flags & ~(NbdConstants.FLAG_FIXED_NEWSTYLE | NbdConstants.FLAG_NO_ZEROES)) != 0) {
                ctx.fireExceptionCaught(
                        new MalformedMessageException(
                                "unknown client flags 0x" + Integer.toHexString(flags)));
            }
        } else {
            NbdOption option = (NbdOption) message;
            try {
                handleOption(ctx, option);
            } finally {
                if (option.data() != null) {
                    option.data().release();
                }
            }
        }
    }

    private void handleOption(ChannelHandlerContext ctx, NbdOption option) {
        int code = option.code();
        if (++optionCount > MAX_OPTIONS) {
            ctx.fireExceptionCaught(
                    new MalformedMessageException(
                            "more than " + MAX_OPTIONS + " handshake options"));
            return;
        }
        if (option.data() == null) {
            replyError(ctx, code, NbdConstants.REP_ERR_TOO_BIG, "option data is too long");
            return;
        }
        switch (code) {
            case NbdConstants.OPT_EXPORT_NAME -> handleExportName(ctx, option.data());
            case NbdConstants.OPT_ABORT -> {
                finished = true;
                reply(ctx, code, NbdConstants.REP_ACK, Unpooled.EMPTY_BUFFER)
                        .addListener(ChannelFutureListener.CLOSE);
            }
            case NbdConstants.OPT_LIST -> handleList(ctx, option.data());
            case NbdConstants.OPT_INFO, NbdConstants.OPT_GO -> handleInfo(ctx, code, option.data());
            case NbdConstants.OPT_STRUCTURED_REPLY -> {
                if (option.data().isReadable()) {
                    replyError(
                            ctx, code, NbdConstants.REP_ERR_INVALID, "this option takes no data");
                } else {
                    structured = true;
                    reply(ctx, code, NbdConstants.REP_ACK, Unpooled.EMPTY_BUFFER);
                }
            }
            case NbdConstants.OPT_LIST_META_CONTEXT, NbdConstants.OPT_SET_META_CONTEXT ->
                    handleMetaContext(ctx, code, option.data());
            default ->
                    replyError(
                            ctx,
                            code,
                            NbdConstants.REP_ERR_UNSUP,
                            "option " + Integer.toUnsignedString(code) + " is not supported");
        }
    }

    /**
     * Handles NBD_OPT_EXPORT_NAME. Its reply cannot carry an error, so an unknown export ends the
     * session.
     */
    private void handleExportName(ChannelHandlerContext ctx, ByteBuf data) {
        Export export = exports.findByName(data.toString(StandardCharsets.UTF_8));
        if (export == null) {
            ctx.fireExceptionCaught(new MalformedMessageException("unknown export"));
            return;
        }
        ByteBuf reply =
                ctx.alloc()
                        .ioBuffer(10 + EXPORT_NAME_PADDING_BYTES)
                        .writeLong(export.size())
                        .writeShort(export.flags(structured));
        if ((clientFlags & NbdConstants.FLAG_NO_ZEROES) == 0) {
            reply.writeZero(EXPORT_NAME_PADDING_BYTES);
        }
        ctx.writeAndFlush(reply);
        attach(ctx, export);
    }

    private void handleList(ChannelHandlerContext ctx, ByteBuf data) {
        if (data.isReadable()) {
            replyError(
                    ctx,
                    NbdConstants.OPT_LIST,
                    NbdConstants.REP_ERR_INVALID,
                    "this option takes no data");
            return;
        }
        for (Export export : exports.all()) {
            byte[] name = export.name().getBytes(StandardCharsets.UTF_8);
            byte[] text = export.description().getBytes(StandardCharsets.UTF_8);
            reply(
                    ctx,
                    NbdConstants.OPT_LIST,
                    NbdConstants.REP_SERVER,
                    ctx.alloc().ioBuffer().writeInt(name.length).writeBytes(name).writeBytes(text));
        }
        reply(ctx, NbdConstants.OPT_LIST, NbdConstants.REP_ACK, Unpooled.EMPTY_BUFFER);
    }

    /** Handles NBD_OPT_INFO and NBD_OPT_GO. */
    private void handleInfo(ChannelHandlerContext ctx, int code, ByteBuf data) {
        String name = readString(data);
        if (name == null || data.readableBytes() < 2) {
            replyError(ctx, code, NbdConstants.REP_ERR_INVALID, "option data is truncated");
            return;
        }
        int count = data.readUnsignedShort();
        if (data.readableBytes() != 2 * count) {
            replyError(
                    ctx,
                    code,
                    NbdConstants.REP_ERR_INVALID,
                    "number of information requests does not match the data length");
            return;
        }
        Export export = exports.findByName(name);
        if (export == null) {
            replyError(ctx, code, NbdConstants.REP_ERR_UNKNOWN, "unknown export");
            return;
        }
        replyExportInfo(ctx, code, export, data);
        reply(ctx, code, NbdConstants.REP_ACK, Unpooled.EMPTY_BUFFER);
        if (code == NbdConstants.OPT_GO) {
            attach(ctx, export);
        }
    }

    private void replyExportInfo(
            ChannelHandlerContext ctx, int code, Export export, ByteBuf requestedTypes) {
        boolean wantsName = false;
        boolean wantsDescription = false;
        while (requestedTypes.isReadable()) {
            int type = requestedTypes.readUnsignedShort();
            wantsName |= type == NbdConstants.INFO_NAME;
            wantsDescription |= type == NbdConstants.INFO_DESCRIPTION;
        }
        ByteBuf size =
                ctx.alloc()
                        .ioBuffer()
                        .writeShort(NbdConstants.INFO_EXPORT)
                        .writeLong(export.size())
                        .writeShort(export.flags(structured));
        reply(ctx, code, NbdConstants.REP_INFO, size);
        // Block size constraints are sent even if not requested, so that any client can respect
        // them.
        ByteBuf blockSizes =
                ctx.alloc()
                        .ioBuffer()
                        .writeShort(NbdConstants.INFO_BLOCK_SIZE)
                        .writeInt(export.minBlockSize())
                        .writeInt(export.preferredBlockSize())
                        .writeInt(export.maxBlockSize());
        reply(ctx, code, NbdConstants.REP_INFO, blockSizes);
        if (wantsName) {
            ByteBuf name = infoWithText(ctx, NbdConstants.INFO_NAME, export.name());
            reply(ctx, code, NbdConstants.REP_INFO, name);
        }
        if (wantsDescription) {
            ByteBuf description =
                    infoWithText(ctx, NbdConstants.INFO_DESCRIPTION, export.description());
            reply(ctx, code, NbdConstants.REP_INFO, description);
        }
    }

    private static ByteBuf infoWithText(ChannelHandlerContext ctx, int kind, String text) {
        ByteBuf reply = ctx.alloc().ioBuffer().writeShort(kind);
        ByteBufUtil.writeUtf8(reply, text);
        return reply;
    }

    /** Handles NBD_OPT_LIST_META_CONTEXT and NBD_OPT_SET_META_CONTEXT. */
    private void handleMetaContext(ChannelHandlerContext ctx, int code, ByteBuf data) {
        boolean isSet = code == NbdConstants.OPT_SET_META_CONTEXT;
        if (isSet) {
            baseAllocationExport = null; // voids any earlier selection
        }
        String name = readString(data);
        List<String> queries = name == null ? null : readQueries(data);
        if (queries == null) {
            replyError(
                    ctx, code, NbdConstants.REP_ERR_INVALID, "option data has an invalid length");
            return;
        }
        if (!structured) {
            replyError(
                    ctx,
                    code,
                    NbdConstants.REP_ERR_INVALID,
                    "structured replies must be negotiated first");
            return;
        }
        Export export = exports.findByName(name);
        if (export == null) {
            replyError(ctx, code, NbdConstants.REP_ERR_UNKNOWN, "unknown export");
            return;
        }
        boolean matches =
                queries.contains(NbdConstants.BASE_ALLOCATION)
                        || (!isSet && (queries.isEmpty() || queries.contains("base:")));
        if (matches) {
            replyBaseAllocation(ctx, code, isSet ? NbdConstants.BASE_ALLOCATION_ID : 0);
            if (isSet) {
                baseAllocationExport = export.name();
            }
        }
        reply(ctx, code, NbdConstants.REP_ACK, Unpooled.EMPTY_BUFFER);
    }

    private static void replyBaseAllocation(ChannelHandlerContext ctx, int code, int contextId) {
        ByteBuf reply = ctx.alloc().ioBuffer().writeInt(contextId);
        ByteBufUtil.writeUtf8(reply, NbdConstants.BASE_ALLOCATION);
        reply(ctx, code, NbdConstants.REP_META_CONTEXT, reply);
    }

    /**
     * Reads the queries up to the end of the data; returns null if they do not match its length.
     */
    private static List<String> readQueries(ByteBuf data) {
        if (data.readableBytes() < 4) {
            return null;
        }
        long count = data.readUnsignedInt();
        List<String> queries = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            String query = readString(data);
            if (query == null) {
                return null;
            }
            queries.add(query);
        }
        return data.isReadable() ? null : queries;
    }

    private void attach(ChannelHandlerContext ctx, Export export) {
        finished = true;
        decoder.startTransmission(export.maxBlockSize());
        ctx.fireUserEventTriggered(
                new AttachedExport(export, structured, export.name().equals(baseAllocationExport)));
    }

    /**
     * Reads a length-prefixed string; returns null if it is truncated or longer than the protocol
     * allows.
     */
    private static String readString(ByteBuf data) {
        if (data.readableBytes() < 4) {
            return null;
        }
        long length = data.readUnsignedInt();
        if (length > NbdConstants.MAX_STRING_BYTES || length > data.readableBytes()) {
            return null;
        }
        return data.readCharSequence((int) length, StandardCharsets.UTF_8).toString();
    }

    private static void replyError(
            ChannelHandlerContext ctx, int option, int error, String message) {
        reply(ctx, option, error, ByteBufUtil.writeUtf8(ctx.alloc(), message));
    }

    private static ChannelFuture reply(
            ChannelHandlerContext ctx, int option, int type, ByteBuf data) {
        ctx.write(
                ctx.alloc()
                        .ioBuffer(20)
                        .writeLong(NbdConstants.OPTION_REPLY_MAGIC)
                        .writeInt(option)
                        .writeInt(type)
                        .writeInt(data.readableBytes()));
        return ctx.writeAndFlush(data);
    }
}
