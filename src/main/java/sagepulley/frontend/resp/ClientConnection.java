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
 * One client's connection: its commands in, its answers out in the order of the commands. However
 * it ends, it ends the same way: open, draining, half-closed, closed. Input is read in every phase,
 * so that the peer's end is seen and no close meets bytes unread in the kernel, which would make a
 * reset of it. On the loop.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    /**
     * Draining: what it asks is refused; half-closed: all is answered, the output is shut, input is
     * dropped.
     */
    private enum Phase {
        OPEN,
        DRAINING,
        HALF_CLOSED,
        CLOSED
    }

    /** Commands unanswered on one connection; with more, nothing is read from it. */
    private static final int MAX_UNANSWERED_COMMANDS = 64;

    /** Told what the clients want. */
    interface Handler {
        /** A read or write; its answer goes to the slot, now or later. */
        void onRequest(
                ClientConnection connection, PendingReply pendingReply, List<byte[]> arguments);

        /** The client is gone before this slot was answered. */
        void onClientCancelled(PendingReply pendingReply);

        void onClosed(ClientConnection connection);

        double now();
    }

    /** The place of one answer in the order of answers. */
    static final class PendingReply {
        private final ClientConnection connection;
        private ByteBuf reply;

        /** What the answer is to; null once it is answered. */
        Object attachment;

        private PendingReply(ClientConnection connection) {
            this.connection = connection;
        }

        /** The one answer; on a connection that is gone it is dropped. */
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
    private boolean shuttingOutput;

    /** When it connected, when it last asked or was answered, and when it last sent a byte. */
    double connectedAt;

    double lastActiveAt;
    double lastReadAt;

    /** Since when a command has been under way. */
    double partialCommandSince = Double.POSITIVE_INFINITY;

    /**
     * Since when it has read nothing of what waits, and since when all is answered on a connection
     * that ends.
     */
    double unwritableSince = Double.POSITIVE_INFINITY;

    double drainedSince = Double.POSITIVE_INFINITY;

    /** Whether a whole command that could be read has come. */
    boolean hasSentCommand;

    /** Why this side ended it; null while it has not. */
    private String closeReason;

    ClientConnection(Handler handler, RespDecoder decoder) {
        this.handler = handler;
        this.decoder = decoder;
    }

    /** Whether some of a command has come, but not all of it. */
    boolean isReadingCommand() {
        return decoder.isMidValue();
    }

    boolean hasPendingReplies() {
        return !pendingReplies.isEmpty();
    }

    boolean isDraining() {
        return phase != Phase.OPEN;
    }

    /** How long ago the command that is being read came. */
    double millisSinceReceived(KernelReceiveTime arrival) {
        return arrival.millisSinceReceived(channel, lastActiveAt - connectedAt);
    }

    String closeReason() {
        return closeReason;
    }

    /** Answers what was taken, then shuts the output, and closes with the peer's end. */
    void drain(String why) {
        if (phase == Phase.OPEN) {
            closeReason = why;
            phase = Phase.DRAINING;
            writeReadyReplies();
        }
    }

    /** Ends without waiting for anybody. */
    void close(String why) {
        if (channel != null) {
            closeReason = closeReason == null ? why : closeReason + ", " + why;
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
        if (phase == Phase.HALF_CLOSED || shuttingOutput) {
            return; // read after the end was said: never sent on
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
        if (phase == Phase.DRAINING && pendingReplies.isEmpty() && !shuttingOutput) {
            shuttingOutput = true;
            drainedSince = handler.now();
            writer.runAfterAll(
                    () ->
                            channel.writeAndFlush(Unpooled.EMPTY_BUFFER)
                                    .addListener(flushed -> shutOutput()));
        }
        updateAutoRead();
    }

    /** All is written: says so to the peer, whose own end closes the connection. */
    private void shutOutput() {
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
                            shuttingOutput
                                    || (pendingReplies.size() < MAX_UNANSWERED_COMMANDS
                                            && channel.isWritable()
                                            && !writer.hasQueued()));
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        unwritableSince = ctx.channel().isWritable() ? Double.POSITIVE_INFINITY : handler.now();
        updateAutoRead();
    }

    /**
     * Told by the close itself: the pipeline's word comes a task later, after what this turn of the
     * loop has read was sent on.
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
            // A reset is how many clients leave; anything else is worth a line.
            closeReason = String.valueOf(cause.getMessage());
            if (!(cause instanceof IOException)) {
                LogWriter.warn(
                        "a client's connection failed",
                        "why",
                        cause,
                        "unanswered",
                        pendingReplies.size());
            }
            ctx.close();
        }
    }
}
