package sagepulley.codec.nbd;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
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
 * A client connection to one export. Uses fixed newstyle negotiation, and structured replies and
 * base:allocation if the server supports them. Requests may be sent from any thread; each ends
 * exactly once, on the connection's event loop.
 */
public final class NbdClient {
    private static final int CONNECT_TIMEOUT_MILLIS = 5_000;

    /** The negotiation used to open an export. */
    public enum Style {
        /** NBD_OPT_GO, with structured replies and base:allocation if the server has them. */
        GO,
        /** NBD_OPT_GO with simple replies. */
        GO_SIMPLE,
        /** NBD_OPT_EXPORT_NAME with simple replies. */
        EXPORT_NAME
    }

    /** Receives the reply, which it owns, or null and the cause of the failure. */
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

    /**
     * Connects and opens an export. The future fails with the server's error reply or the
     * connection error.
     */
    public static CompletableFuture<NbdClient> open(
            EventLoopGroup loops,
            Class<? extends Channel> channelType,
            SocketAddress server,
            String export,
            Style style) {
        CompletableFuture<NbdClient> opened = new CompletableFuture<>();
        new Bootstrap()
                .group(loops)
                .channel(channelType)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                NbdClient client = new NbdClient(channel);
                                NbdClientDecoder decoder = new NbdClientDecoder(client::dataLength);
                                channel.pipeline()
                                        .addLast(
                                                decoder,
                                                client.new Handler(decoder, export, style, opened));
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

    /** Returns the size of the export in bytes. */
    public long size() {
        return size;
    }

    /** Returns the transmission flags. */
    public int flags() {
        return flags;
    }

    /** Returns the minimum block size in bytes ('Block size constraints'). */
    public int minBlockSize() {
        return minBlockSize;
    }

    /** Returns the maximum block size in bytes ('Block size constraints'). */
    public int maxBlockSize() {
        return maxBlockSize;
    }

    /** Returns whether the metadata context base:allocation was selected. */
    public boolean hasBaseAllocation() {
        return baseAllocation;
    }

    /** Returns the channel of the connection. */
    public Channel channel() {
        return channel;
    }

    /** Returns a future that completes when the connection has ended for any reason. */
    public CompletableFuture<Void> closed() {
        return closed;
    }

    /** Sends a request and takes ownership of its payload, which is empty except for writes. */
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

    /** Sends a request; the future completes with the reply, which the receiver owns. */
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

    /** Sends a read request. */
    public CompletableFuture<NbdReply> read(long offset, int length) {
        return request(NbdConstants.CMD_READ, 0, offset, length, Unpooled.EMPTY_BUFFER);
    }

    /** Sends a write request. */
    public CompletableFuture<NbdReply> write(long offset, byte[] data) {
        return request(
                NbdConstants.CMD_WRITE, 0, offset, data.length, Unpooled.wrappedBuffer(data));
    }

    /** Sends NBD_CMD_DISC and closes the connection; pending requests fail. */
    public CompletableFuture<Void> disconnect() {
        channel.eventLoop()
                .execute(
                        () -> {
                            channel.writeAndFlush(requestHead(NbdConstants.CMD_DISC, 0, 0, 0, 0))
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
            handler.accept(null, new IOException("connection closed"));
            return;
        }
        long cookie = ++lastCookie;
        pending.put(
                cookie,
                new PendingRequest(
                        command == NbdConstants.CMD_READ ? length : 0, new NbdReply(), handler));
        channel.write(requestHead(command, commandFlags, cookie, offset, length));
        channel.writeAndFlush(payload);
    }

    private ByteBuf requestHead(
            int command, int commandFlags, long cookie, long offset, int length) {
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

    /** Negotiates the export, then matches replies to pending requests. */
    private final class Handler extends ChannelInboundHandlerAdapter {
        private final NbdClientDecoder decoder;
        private final String export;
        private final Style style;
        private final CompletableFuture<NbdClient> opened;

        Handler(
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
                chunkReceived(chunk);
            } else if (message instanceof NbdClientDecoder.SimpleReply simple) {
                simpleReplyReceived(simple);
            } else if (message instanceof NbdClientDecoder.OptionReply reply) {
                try {
                    optionReplyReceived(ctx, reply);
                } finally {
                    reply.data().release();
                }
            } else {
                beginNegotiation(ctx, (Integer) message);
            }
        }

        private void beginNegotiation(ChannelHandlerContext ctx, int handshakeFlags) {
            int clientFlags =
                    handshakeFlags
                            & (NbdConstants.FLAG_FIXED_NEWSTYLE | NbdConstants.FLAG_NO_ZEROES);
            ctx.write(ctx.alloc().ioBuffer(4).writeInt(clientFlags));
            switch (style) {
                case EXPORT_NAME -> {
                    decoder.expectExport((handshakeFlags & NbdConstants.FLAG_NO_ZEROES) == 0);
                    OptionWriter.exportName(ctx, export);
                }
                case GO_SIMPLE -> OptionWriter.go(ctx, export);
                case GO -> OptionWriter.structuredReply(ctx);
            }
        }

        private void simpleReplyReceived(NbdClientDecoder.SimpleReply simple) {
            PendingRequest request = pending.remove(simple.cookie());
            request.reply().error = simple.error();
            ByteBuf data = simple.data();
            if (data.isReadable()) {
                request.reply().chunks.add(new NbdReply.Chunk(0, data.readableBytes(), data));
            } else {
                data.release();
            }
            request.handler().accept(request.reply(), null);
        }

        private void optionReplyReceived(
                ChannelHandlerContext ctx, NbdClientDecoder.OptionReply reply)
                throws MalformedMessageException {
            boolean failed = reply.type() < 0;
            switch (reply.option()) {
                case NbdConstants.OPT_EXPORT_NAME -> {
                    size = reply.data().readLong();
                    flags = reply.data().readUnsignedShort();
                    opened.complete(NbdClient.this);
                }
                case NbdConstants.OPT_STRUCTURED_REPLY -> {
                    if (failed) {
                        OptionWriter.go(ctx, export);
                    } else {
                        OptionWriter.setMetaContext(ctx, export);
                    }
                }
                case NbdConstants.OPT_SET_META_CONTEXT -> {
                    if (reply.type() == NbdConstants.REP_META_CONTEXT) {
                        baseAllocation = true;
                    } else {
                        OptionWriter.go(ctx, export);
                    }
                }
                case NbdConstants.OPT_GO -> goReplyReceived(ctx, reply);
                default ->
                        throw new MalformedMessageException(
                                "unexpected reply to option " + reply.option());
            }
        }

        private void goReplyReceived(ChannelHandlerContext ctx, NbdClientDecoder.OptionReply reply)
                throws MalformedMessageException {
            if (reply.type() < 0) {
                String reason = reply.data().toString(StandardCharsets.UTF_8);
                opened.completeExceptionally(
                        new IOException("server rejected the export: " + reason));
                ctx.close();
            } else if (reply.type() == NbdConstants.REP_INFO) {
                exportInfoReceived(reply.data());
            } else {
                decoder.startTransmission();
                opened.complete(NbdClient.this);
            }
        }

        private void exportInfoReceived(ByteBuf data) throws MalformedMessageException {
            int infoType = data.readableBytes() < 2 ? -1 : data.readUnsignedShort();
            if (infoType == NbdConstants.INFO_EXPORT && data.readableBytes() == 10) {
                size = data.readLong();
                flags = data.readUnsignedShort();
            } else if (infoType == NbdConstants.INFO_BLOCK_SIZE && data.readableBytes() == 12) {
                minBlockSize = data.readInt();
                data.readInt();
                maxBlockSize = data.readInt();
            } else if (infoType == -1
                    || infoType == NbdConstants.INFO_EXPORT
                    || infoType == NbdConstants.INFO_BLOCK_SIZE) {
                throw new MalformedMessageException(
                        "malformed export information of type " + infoType);
            }
        }

        private void chunkReceived(NbdClientDecoder.Chunk chunk) {
            PendingRequest request = pending.get(chunk.cookie());
            request.reply().add(chunk);
            if (chunk.done()) {
                pending.remove(chunk.cookie());
                request.handler().accept(request.reply(), null);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            fail(new IOException("connection closed"));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            fail(cause);
            ctx.close();
        }

        private void fail(Throwable cause) {
            opened.completeExceptionally(cause);
            List<PendingRequest> unanswered = new ArrayList<>(pending.values());
            pending.clear();
            for (PendingRequest request : unanswered) {
                request.reply().release();
                request.handler().accept(null, cause);
            }
            closed.complete(null);
        }
    }
}
