package sagepulley.codec.nbd;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import sagepulley.codec.frame.MalformedMessageException;

/**
 * A client's connection to one export: fixed newstyle, structured replies and base:allocation where
 * the server has them. Requests may be asked from any thread; their ends are told on the
 * connection's loop.
 */
public final class NbdClient {
    /** How an attempt to open an export goes about it. */
    public enum Style {
        GO,
        GO_SIMPLE,
        EXPORT_NAME
    }

    /** Told the reply, which it must release, or why there will be none. */
    public interface ReplyHandler extends BiConsumer<NbdReply, Throwable> {}

    private record PendingRequest(int dataLength, NbdReply reply, ReplyHandler handler) {}

    private final Channel channel;
    private final Map<Long, PendingRequest> pending = new HashMap<>();
    private long lastCookie;
    private long size;
    private int flags;
    private int minBlockSize = 1;
    private int maxBlockSize = 32 << 20;
    private boolean baseAllocation;
    private final CompletableFuture<Void> closed = new CompletableFuture<>();

    private NbdClient(Channel channel) {
        this.channel = channel;
    }

    /** Opens an export; fails with what the server answered, or with the connection. */
    public static CompletableFuture<NbdClient> open(
            EventLoopGroup loops,
            Class<? extends Channel> kind,
            SocketAddress server,
            String export,
            Style style) {
        CompletableFuture<NbdClient> opened = new CompletableFuture<>();
        new Bootstrap()
                .group(loops)
                .channel(kind)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 5000)
                .handler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                NbdClient client = new NbdClient(channel);
                                NbdClientDecoder decoder = new NbdClientDecoder(client::dataLength);
                                channel.pipeline()
                                        .addLast(
                                                decoder,
                                                client.new Talk(decoder, export, style, opened));
                            }
                        })
                .connect(server)
                .addListener(
                        done -> {
                            if (!done.isSuccess()) {
                                opened.completeExceptionally(done.cause());
                            }
                        });
        return opened;
    }

    public long size() {
        return size;
    }

    /** The transmission flags. */
    public int flags() {
        return flags;
    }

    public int minBlockSize() {
        return minBlockSize;
    }

    public int maxBlockSize() {
        return maxBlockSize;
    }

    public boolean hasBaseAllocation() {
        return baseAllocation;
    }

    public Channel channel() {
        return channel;
    }

    /** Done once the connection has ended, for whatever reason. */
    public CompletableFuture<Void> closed() {
        return closed;
    }

    /** Sends a request; the payload (for writes) changes hands. */
    public void request(
            int command,
            int commandFlags,
            long offset,
            int length,
            ByteBuf payload,
            ReplyHandler handler) {
        if (channel.eventLoop().inEventLoop()) {
            sendRequest(command, commandFlags, offset, length, payload, handler);
        } else {
            channel.eventLoop()
                    .execute(
                            () ->
                                    sendRequest(
                                            command,
                                            commandFlags,
                                            offset,
                                            length,
                                            payload,
                                            handler));
        }
    }

    /** The same, with the end as a future. */
    public CompletableFuture<NbdReply> request(
            int command, int commandFlags, long offset, int length, ByteBuf payload) {
        CompletableFuture<NbdReply> future = new CompletableFuture<>();
        request(
                command,
                commandFlags,
                offset,
                length,
                payload,
                (reply, failure) -> {
                    if (failure != null) {
                        future.completeExceptionally(failure);
                    } else {
                        future.complete(reply);
                    }
                });
        return future;
    }

    public CompletableFuture<NbdReply> read(long offset, int length) {
        return request(NbdConstants.CMD_READ, 0, offset, length, Unpooled.EMPTY_BUFFER);
    }

    public CompletableFuture<NbdReply> write(long offset, byte[] data) {
        return request(
                NbdConstants.CMD_WRITE, 0, offset, data.length, Unpooled.wrappedBuffer(data));
    }

    /** Says goodbye (NBD_CMD_DISC) and closes; what is still out gets no reply. */
    public CompletableFuture<Void> disconnect() {
        channel.eventLoop()
                .execute(
                        () -> {
                            channel.writeAndFlush(request(NbdConstants.CMD_DISC, 0, 0, 0, 0))
                                    .addListener(done -> channel.close());
                        });
        return closed;
    }

    private void sendRequest(
            int command,
            int commandFlags,
            long offset,
            int length,
            ByteBuf payload,
            ReplyHandler handler) {
        if (!channel.isActive()) {
            payload.release();
            handler.accept(null, new IOException("the connection has ended"));
            return;
        }
        long cookie = ++lastCookie;
        pending.put(
                cookie,
                new PendingRequest(
                        command == NbdConstants.CMD_READ ? length : 0, new NbdReply(), handler));
        channel.write(request(command, commandFlags, cookie, offset, length));
        channel.writeAndFlush(payload);
    }

    private ByteBuf request(int command, int commandFlags, long cookie, long offset, int length) {
        return channel.alloc()
                .ioBuffer(28)
                .writeInt(NbdConstants.REQUEST_MAGIC)
                .writeShort(commandFlags)
                .writeShort(command)
                .writeLong(cookie)
                .writeLong(offset)
                .writeInt(length);
    }

    private int dataLength(long cookie) {
        PendingRequest request = pending.get(cookie);
        return request == null ? -1 : request.dataLength();
    }

    /** The connection's side: negotiates, then matches replies to what was asked. */
    private final class Talk extends ChannelInboundHandlerAdapter {
        private final NbdClientDecoder decoder;
        private final String export;
        private final Style style;
        private final CompletableFuture<NbdClient> opened;
        private boolean structured;

        Talk(
                NbdClientDecoder decoder,
                String export,
                Style style,
                CompletableFuture<NbdClient> opened) {
            this.decoder = decoder;
            this.export = export;
            this.style = style;
            this.opened = opened;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
            if (message instanceof NbdClientDecoder.Chunk chunk) {
                chunk(chunk);
            } else if (message instanceof NbdClientDecoder.SimpleReply simple) {
                PendingRequest request = pending.remove(simple.cookie());
                request.reply().error = simple.error();
                if (simple.data().isReadable()) {
                    request.reply()
                            .chunks
                            .add(
                                    new NbdReply.Chunk(
                                            0, simple.data().readableBytes(), simple.data()));
                } else {
                    simple.data().release();
                }
                request.handler().accept(request.reply(), null);
            } else if (message instanceof NbdClientDecoder.OptionReply reply) {
                try {
                    optionReply(ctx, reply);
                } finally {
                    reply.data().release();
                }
            } else {
                ctx.write(
                        ctx.alloc()
                                .ioBuffer(4)
                                .writeInt(
                                        (Integer) message
                                                & (NbdConstants.FLAG_FIXED_NEWSTYLE
                                                        | NbdConstants.FLAG_NO_ZEROES)));
                if (style == Style.EXPORT_NAME) {
                    decoder.expectExport(((Integer) message & NbdConstants.FLAG_NO_ZEROES) == 0);
                    option(
                            ctx,
                            NbdConstants.OPT_EXPORT_NAME,
                            ByteBufUtil.writeUtf8(ctx.alloc(), export));
                } else if (style == Style.GO_SIMPLE) {
                    go(ctx);
                } else {
                    option(ctx, NbdConstants.OPT_STRUCTURED_REPLY, Unpooled.EMPTY_BUFFER);
                }
            }
        }

        private void optionReply(ChannelHandlerContext ctx, NbdClientDecoder.OptionReply reply)
                throws MalformedMessageException {
            boolean failed = reply.type() < 0;
            switch (reply.option()) {
                case NbdConstants.OPT_EXPORT_NAME -> {
                    size = reply.data().readLong();
                    flags = reply.data().readUnsignedShort();
                    opened.complete(NbdClient.this);
                }
                case NbdConstants.OPT_STRUCTURED_REPLY -> {
                    structured = !failed;
                    if (structured) {
                        ByteBuf data = ctx.alloc().ioBuffer();
                        string(data, export);
                        string(data.writeInt(1), NbdConstants.BASE_ALLOCATION);
                        option(ctx, NbdConstants.OPT_SET_META_CONTEXT, data);
                    } else {
                        go(ctx);
                    }
                }
                case NbdConstants.OPT_SET_META_CONTEXT -> {
                    if (reply.type() == NbdConstants.REP_META_CONTEXT) {
                        baseAllocation = true;
                    } else {
                        go(ctx);
                    }
                }
                case NbdConstants.OPT_GO -> {
                    if (failed) {
                        opened.completeExceptionally(
                                new IOException(
                                        "the server refuses: "
                                                + reply.data().toString(StandardCharsets.UTF_8)));
                        ctx.close();
                    } else if (reply.type() == NbdConstants.REP_INFO) {
                        info(reply.data());
                    } else {
                        decoder.startTransmission();
                        opened.complete(NbdClient.this);
                    }
                }
                default -> throw new MalformedMessageException("reply to option " + reply.option());
            }
        }

        private void info(ByteBuf data) throws MalformedMessageException {
            int kind = data.readableBytes() < 2 ? -1 : data.readUnsignedShort();
            if (kind == NbdConstants.INFO_EXPORT && data.readableBytes() == 10) {
                size = data.readLong();
                flags = data.readUnsignedShort();
            } else if (kind == NbdConstants.INFO_BLOCK_SIZE && data.readableBytes() == 12) {
                minBlockSize = data.readInt();
                data.readInt();
                maxBlockSize = data.readInt();
            } else if (kind == -1
                    || kind == NbdConstants.INFO_EXPORT
                    || kind == NbdConstants.INFO_BLOCK_SIZE) {
                throw new MalformedMessageException("malformed information");
            }
        }

        private void go(ChannelHandlerContext ctx) {
            ByteBuf data = ctx.alloc().ioBuffer();
            string(data, export);
            option(
                    ctx,
                    NbdConstants.OPT_GO,
                    data.writeShort(1).writeShort(NbdConstants.INFO_BLOCK_SIZE));
        }

        private void string(ByteBuf to, String text) {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            to.writeInt(bytes.length).writeBytes(bytes);
        }

        private void option(ChannelHandlerContext ctx, int code, ByteBuf data) {
            ctx.write(
                    ctx.alloc()
                            .ioBuffer(16)
                            .writeLong(NbdConstants.IHAVEOPT)
                            .writeInt(code)
                            .writeInt(data.readableBytes()));
            ctx.writeAndFlush(data);
        }

        private void chunk(NbdClientDecoder.Chunk chunk) {
            PendingRequest request = pending.get(chunk.cookie());
            NbdReply reply = request.reply();
            switch (chunk.type()) {
                case NbdConstants.CHUNK_OFFSET_DATA ->
                        reply.chunks.add(
                                new NbdReply.Chunk(
                                        chunk.offset(),
                                        chunk.data().readableBytes(),
                                        chunk.data()));
                case NbdConstants.CHUNK_OFFSET_HOLE -> {
                    reply.chunks.add(
                            new NbdReply.Chunk(chunk.offset(), chunk.data().readInt(), null));
                    chunk.data().release();
                }
                case NbdConstants.CHUNK_BLOCK_STATUS -> {
                    chunk.data().readInt();
                    List<Integer> blocks = new ArrayList<>();
                    while (chunk.data().readableBytes() >= 4) {
                        blocks.add(chunk.data().readInt());
                    }
                    reply.blocks = blocks.stream().mapToInt(Integer::intValue).toArray();
                    chunk.data().release();
                }
                case NbdConstants.CHUNK_NONE -> chunk.data().release();
                default -> {
                    if (reply.error == 0) {
                        reply.error = chunk.error();
                        reply.message = chunk.message();
                        reply.errorOffset = chunk.offset();
                    }
                    reply.errorOffsets.add(chunk.offset());
                }
            }
            if (chunk.done()) {
                pending.remove(chunk.cookie());
                request.handler().accept(reply, null);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            fail(new IOException("the connection has ended"));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            fail(cause);
            ctx.close();
        }

        private void fail(Throwable cause) {
            opened.completeExceptionally(cause);
            List<PendingRequest> lost = new ArrayList<>(pending.values());
            pending.clear();
            for (PendingRequest request : lost) {
                request.reply().release();
                request.handler().accept(null, cause);
            }
            closed.complete(null);
        }
    }
}
