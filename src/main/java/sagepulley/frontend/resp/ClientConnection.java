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
 * Manages one client connection: reads commands and writes the replies in the order of the
 * commands.
 *
 * <p>Draining shuts down the output once all replies are written. Input is still read after that,
 * so that the peer's FIN is detected and no unread bytes remain in the kernel at the close, which
 * would turn it into a reset. Runs on the event loop; times are in milliseconds of the handler's
 * clock.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    private enum Phase {
        OPEN,
        /** Read and write commands are rejected; pending replies are still written. */
        DRAINING,
        /** All replies are written and the output is shut down; further input is dropped. */
        HALF_CLOSED,
        CLOSED
    }

    /** Reading pauses while this many replies of the connection are pending. */
    private static final int MAX_PENDING_REPLIES = 64;

    /** Handles commands and connection events of clients. */
    interface Handler {
        /** Handles a read or write command. The pending reply is completed immediately or later. */
        void onRequest(
                ClientConnection connection, PendingReply pendingReply, List<byte[]> arguments);

        /** Called when the connection has closed before a command in flight was replied to. */
        void onClientCancelled(PendingReply pendingReply);

        /** Called when the connection has closed. */
        void onClosed(ClientConnection connection);

        /** Returns the current time in milliseconds. */
        double now();
    }

    /** The reply to one command, queued in the order of commands until it can be written. */
    static final class PendingReply {
        private final ClientConnection connection;
        private ByteBuf reply;

        /** State that the handler associates with the command; null once it is replied to. */
        Object attachment;

        private PendingReply(ClientConnection connection) {
            this.connection = connection;
        }

        /** Sets the reply and writes all replies that are ready. Must be called at most once. */
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

    /** Time at which the client connected. */
    double connectedAt;

    /** Time at which the last command was read or the last reply was written. */
    double lastActiveAt;

    /** Time at which bytes were last read. */
    double lastReadAt;

    /** Time since which a partial command has been buffered; infinite if there is none. */
    double partialCommandSince = Double.POSITIVE_INFINITY;

    /**
     * Time since which the client has been too slow to read its replies; infinite while the channel
     * is writable.
     */
    double unwritableSince = Double.POSITIVE_INFINITY;

    /** Time since which the draining connection has no pending replies; infinite before that. */
    double drainedSince = Double.POSITIVE_INFINITY;

    /** Whether a valid read or write, or a PING, has been received. */
    boolean hasSentCommand;

    /** Reason for the close, for the log; null unless this side closed it or an error occurred. */
    private String closeReason;

    ClientConnection(Handler handler, RespDecoder decoder) {
        this.handler = handler;
        this.decoder = decoder;
    }

    /** Returns whether a command has been received in part. */
    boolean isReadingCommand() {
        return decoder.hasPartialValue();
    }

    boolean hasPendingReplies() {
        return !pendingReplies.isEmpty();
    }

    boolean isDraining() {
        return phase != Phase.OPEN;
    }

    /** Returns how long ago the bytes of the current command arrived at this host. */
    double millisSinceReceived(KernelReceiveTime receiveTime) {
        return receiveTime.millisSinceReceived(channel, lastActiveAt - connectedAt);
    }

    String closeReason() {
        return closeReason;
    }

    /**
     * Writes the pending replies, then shuts down the output. The connection closes when the
     * client's FIN arrives.
     */
    void drain(String reason) {
        if (phase == Phase.OPEN) {
            closeReason = reason;
            phase = Phase.DRAINING;
            writeReadyReplies();
        }
    }

    /** Closes the connection immediately. */
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
            return; // dropped, because the output is already being shut down
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
                                : RespEncoder.error(
                                        "ERR PING with "
                                                + (arguments.size() - 1)
                                                + " arguments, expected 0"));
            }
            default ->
                    pendingReply.reply(
                            RespEncoder.error(
                                    "ERR unknown command, expected "
                                            + BlockCommand.READ
                                            + ", "
                                            + BlockCommand.WRITE
                                            + " or PING"));
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

    /** Sends FIN once all replies are written. The client's FIN then closes the connection. */
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

    /** Pauses reading while too many replies are pending or the client does not read them. */
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
     * Handles the close. Called by the close future, because channelInactive is called one task
     * later, when commands read in the same loop iteration have already been forwarded.
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
            // A reset by the client, or another I/O error, is not logged as a failure.
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
