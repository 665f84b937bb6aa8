package sagepulley.frontend.resp;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.DecoderException;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.List;
import sagepulley.codec.resp.Resp;
import sagepulley.codec.resp.RespDecoder;
import sagepulley.codec.resp.RespEncoder;
import sagepulley.logging.LogWriter;
import sagepulley.transport.KernelReceiveTime;

/**
 * One client's connection: its commands in, its replies out in the order of the commands. However
 * it ends, it passes the same phases: open, draining, half-closed, closed. Input is read in every
 * phase, so that the peer's FIN is seen and no close meets unread bytes in the kernel, which would
 * turn it into a reset. Runs on the event loop; times are milliseconds of the handler's clock.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    private enum Phase {
        OPEN,
        /** Commands are rejected; replies are still written. */
        DRAINING,
        /** All replies are written and the output is shut; input is dropped. */
        HALF_CLOSED,
        CLOSED
    }

    /** Commands without a reply on one connection; with more, nothing is read from it. */
    private static final int MAX_PENDING_REPLIES = 64;

    /** Handles the commands of clients. */
    interface Handler {
        /** A read or write; its reply goes to the pending reply, now or later. */
        void onRequest(
                ClientConnection connection, PendingReply pendingReply, List<byte[]> arguments);

        /** The client is gone before its command was replied to. */
        void onClientCancelled(PendingReply pendingReply);

        /** The connection is closed. */
        void onClosed(ClientConnection connection);

        /** The time in milliseconds. */
        double now();
    }

    /** The place of one reply in the order of replies. */
    static final class PendingReply {
        private final ClientConnection connection;
        private ByteBuf reply;

        /** What the handler keeps with the command; null once it is replied to. */
        Object attachment;

        private PendingReply(ClientConnection connection) {
            this.connection = connection;
        }

        /** Sets the one reply; on a closed connection it is released. */
        void reply(ByteBuf bytes) {
            attachment = null;
            reply = bytes;
            connection.writeReadyReplies();
        }
    }

    private final Handler handler;
    private final RespDecoder decoder;
    private final ArrayDeque<PendingReply> pendingReplies = new ArrayDeque<>();
    private Channel channel;
    private ClientWriter writer;
    private Phase phase = Phase.OPEN;
    private boolean isShuttingDownOutput;

    /** When it connected. */
    double connectedAt;

    /** When the last command came or the last reply was written. */
    double lastActiveAt;

    /** When the last bytes were read. */
    double lastReadAt;

    /** Since when part of a command has been read; infinite while there is none. */
    double partialCommandSince = Double.POSITIVE_INFINITY;

    /** Since when the client has not read what waits for it; infinite while it has. */
    double unwritableSince = Double.POSITIVE_INFINITY;

    /** Since when all is replied to on a draining connection; infinite before that. */
    double drainedSince = Double.POSITIVE_INFINITY;

    /** Whether a complete and valid command has come. */
    boolean hasSentCommand;

    /** Why this side closed it, for the log; null while it has not. */
    private String closeReason;

    ClientConnection(Handler handler, RespDecoder decoder) {
        this.handler = handler;
        this.decoder = decoder;
    }

    /** Whether some of a command has come, but not all of it. */
    boolean isReadingCommand() {
        return decoder.hasPartialValue();
    }

    boolean hasPendingReplies() {
        return !pendingReplies.isEmpty();
    }

    boolean isDraining() {
        return phase != Phase.OPEN;
    }

    /** How long ago the bytes of the command under way came to this machine. */
    double millisSinceReceived(KernelReceiveTime receiveTime) {
        return receiveTime.millisSinceReceived(channel, lastActiveAt - connectedAt);
    }

    String closeReason() {
        return closeReason;
    }

    /** Replies to what was accepted, then shuts the output, and closes with the peer's FIN. */
    void drain(String reason) {
        if (phase == Phase.OPEN) {
            closeReason = reason;
            phase = Phase.DRAINING;
            writeReadyReplies();
        }
    }

    /** Closes without waiting for anybody. */
    void close(String reason) {
        if (channel != null) {
            closeReason = closeReason == null ? reason : closeReason + ", " + reason;
            channel.close();
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        writer = new ClientWriter(channel, this::updateAutoRead);
        connectedAt = handler.now();
        lastActiveAt = connectedAt;
        lastReadAt = connectedAt;
        channel.closeFuture().addListener(closed -> onChannelClosed());
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (phase == Phase.HALF_CLOSED || isShuttingDownOutput) {
            return; // read after the connection was drained: never forwarded
        }
        lastActiveAt = handler.now();
        PendingReply pendingReply = new PendingReply(this);
        pendingReplies.add(pendingReply);
        List<byte[]> arguments = BlockCommand.arguments((Resp.Array) message);
        String name = BlockCommand.text(arguments.get(0));
        switch (name) {
            case BlockCommand.READ, BlockCommand.WRITE ->
                    handler.onRequest(this, pendingReply, arguments);
            case "PING" -> {
                hasSentCommand = true;
                pendingReply.reply(
                        arguments.size() == 1
                                ? RespEncoder.simple("PONG")
                                : RespEncoder.error("ERR wrong number of words"));
            }
            default -> pendingReply.reply(RespEncoder.error("ERR unknown command"));
        }
        updateAutoRead();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        lastReadAt = handler.now();
        partialCommandSince =
                !isReadingCommand()
                        ? Double.POSITIVE_INFINITY
                        : Math.min(partialCommandSince, lastReadAt);
    }

    private void writeReadyReplies() {
        boolean hasWritten = false;
        while (!pendingReplies.isEmpty() && pendingReplies.peek().reply != null) {
            ByteBuf bytes = pendingReplies.poll().reply;
            if (phase == Phase.CLOSED) {
                bytes.release();
            } else {
                writer.write(bytes);
                hasWritten = true;
            }
        }
        if (phase == Phase.CLOSED) {
            return;
        }
        if (hasWritten) {
            lastActiveAt = handler.now();
            writer.flush();
        }
        if (phase == Phase.DRAINING && pendingReplies.isEmpty() && !isShuttingDownOutput) {
            isShuttingDownOutput = true;
            drainedSince = handler.now();
            writer.runAfterFlush(
                    () ->
                            channel.writeAndFlush(Unpooled.EMPTY_BUFFER)
                                    .addListener(flushed -> shutDownOutput()));
        }
        updateAutoRead();
    }

    /** All is written: sends FIN, and the peer's own closes the connection. */
    private void shutDownOutput() {
        if (phase != Phase.DRAINING) {
            return;
        }
        phase = Phase.HALF_CLOSED;
        if (channel instanceof DuplexChannel socket) {
            socket.shutdownOutput();
        } else {
            channel.close();
        }
    }

    private void updateAutoRead() {
        if (phase != Phase.CLOSED) {
            channel.config()
                    .setAutoRead(
                            isShuttingDownOutput
                                    || (pendingReplies.size() < MAX_PENDING_REPLIES
                                            && channel.isWritable()
                                            && !writer.hasQueuedReplies()));
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        unwritableSince = ctx.channel().isWritable() ? Double.POSITIVE_INFINITY : handler.now();
        updateAutoRead();
    }

    /**
     * Called by the close future: the pipeline's event comes a task later, after the commands that
     * this turn of the loop has read were forwarded.
     */
    private void onChannelClosed() {
        phase = Phase.CLOSED;
        for (PendingReply pendingReply : List.copyOf(pendingReplies)) {
            if (pendingReply.reply == null && pendingReply.attachment != null) {
                handler.onClientCancelled(pendingReply);
            }
        }
        for (PendingReply pendingReply : pendingReplies) {
            if (pendingReply.reply != null) {
                pendingReply.reply.release();
            }
        }
        pendingReplies.clear();
        writer.release();
        handler.onClosed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof DecoderException && phase == Phase.OPEN) {
            PendingReply pendingReply = new PendingReply(this);
            pendingReplies.add(pendingReply);
            phase = Phase.DRAINING;
            closeReason = "protocol error";
            pendingReply.reply(RespEncoder.error("ERR protocol error: " + cause.getMessage()));
        } else if (!(cause instanceof DecoderException)) {
            // Many clients disconnect by a reset; anything else is worth a line.
            closeReason = String.valueOf(cause.getMessage());
            if (!(cause instanceof IOException)) {
                LogWriter.warn(
                        "client connection failed",
                        "reason",
                        cause,
                        "pending-replies",
                        pendingReplies.size());
            }
            ctx.close();
        }
    }
}
