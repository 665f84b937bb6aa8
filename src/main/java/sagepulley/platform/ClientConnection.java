package sagepulley.platform;

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
import sagepulley.codec.resp.RespBytes;
import sagepulley.codec.resp.RespDecoder;

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
    private static final int MOST_UNANSWERED = 64;

    /** Told what the clients want. */
    interface Owner {
        /** A read or write; its answer goes to the slot, now or later. */
        void asked(ClientConnection connection, Slot slot, List<byte[]> words);

        /** The client is gone before this slot was answered. */
        void left(Slot slot);

        void closed(ClientConnection connection);

        double now();
    }

    /** The place of one answer in the order of answers. */
    static final class Slot {
        private final ClientConnection connection;
        private ByteBuf answer;

        /** What the answer is to; null once it is answered. */
        Object held;

        private Slot(ClientConnection connection) {
            this.connection = connection;
        }

        /** The one answer; on a connection that is gone it is dropped. */
        void answer(ByteBuf bytes) {
            held = null;
            answer = bytes;
            connection.advance();
        }
    }

    private final Owner owner;
    private final RespDecoder decoder;
    private final ArrayDeque<Slot> unanswered = new ArrayDeque<>();
    private Channel channel;
    private ClientWriter output;
    private Phase phase = Phase.OPEN;
    private boolean shutting;

    /** When it connected, when it last asked or was answered, and when it last sent a byte. */
    double connectedAt;

    double activeAt;
    double heardAt;

    /** Since when a command has been under way. */
    double partialSince = Double.POSITIVE_INFINITY;

    /**
     * Since when it has read nothing of what waits, and since when all is answered on a connection
     * that ends.
     */
    double stuckSince = Double.POSITIVE_INFINITY;

    double doneSince = Double.POSITIVE_INFINITY;

    /** Whether a whole command that could be read has come. */
    boolean asked;

    /** Why this side ended it; null while it has not. */
    private String endReason;

    ClientConnection(Owner owner, RespDecoder decoder) {
        this.owner = owner;
        this.decoder = decoder;
    }

    /** Whether some of a command has come, but not all of it. */
    boolean inMiddle() {
        return decoder.inMiddle();
    }

    boolean hasOpen() {
        return !unanswered.isEmpty();
    }

    boolean isEnding() {
        return phase != Phase.OPEN;
    }

    /** How long ago the command that is being read came. */
    double cameAgo(KernelReceiveTime arrival) {
        return arrival.ago(channel, activeAt - connectedAt);
    }

    String endReason() {
        return endReason;
    }

    /** Answers what was taken, then shuts the output, and closes with the peer's end. */
    void end(String why) {
        if (phase == Phase.OPEN) {
            endReason = why;
            phase = Phase.DRAINING;
            advance();
        }
    }

    /** Ends without waiting for anybody. */
    void close(String why) {
        if (channel != null) {
            endReason = endReason == null ? why : endReason + ", " + why;
            channel.close();
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        output = new ClientWriter(channel, this::pace);
        connectedAt = owner.now();
        activeAt = connectedAt;
        heardAt = connectedAt;
        channel.closeFuture().addListener(closed -> gone());
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (phase == Phase.HALF_CLOSED || shutting) {
            return; // read after the end was said: never sent on
        }
        activeAt = owner.now();
        Slot slot = new Slot(this);
        unanswered.add(slot);
        List<byte[]> words = BlockCommand.words((Resp.Array) message);
        String verb = BlockCommand.text(words.get(0));
        switch (verb) {
            case BlockCommand.READ, BlockCommand.WRITE -> owner.asked(this, slot, words);
            case "PING" -> {
                asked = true;
                slot.answer(
                        words.size() == 1
                                ? RespBytes.simple("PONG")
                                : RespBytes.error("ERR wrong number of words"));
            }
            default -> slot.answer(RespBytes.error("ERR unknown command"));
        }
        pace();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        heardAt = owner.now();
        partialSince = !inMiddle() ? Double.POSITIVE_INFINITY : Math.min(partialSince, heardAt);
    }

    private void advance() {
        boolean wrote = false;
        while (!unanswered.isEmpty() && unanswered.peek().answer != null) {
            ByteBuf bytes = unanswered.poll().answer;
            if (phase == Phase.CLOSED) {
                bytes.release();
            } else {
                output.write(bytes);
                wrote = true;
            }
        }
        if (phase == Phase.CLOSED) {
            return;
        }
        if (wrote) {
            activeAt = owner.now();
            output.flush();
        }
        if (phase == Phase.DRAINING && unanswered.isEmpty() && !shutting) {
            shutting = true;
            doneSince = owner.now();
            output.afterAll(
                    () ->
                            channel.writeAndFlush(Unpooled.EMPTY_BUFFER)
                                    .addListener(flushed -> shutOutput()));
        }
        pace();
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

    private void pace() {
        if (phase != Phase.CLOSED) {
            channel.config()
                    .setAutoRead(
                            shutting
                                    || (unanswered.size() < MOST_UNANSWERED
                                            && channel.isWritable()
                                            && !output.isWaiting()));
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        stuckSince = ctx.channel().isWritable() ? Double.POSITIVE_INFINITY : owner.now();
        pace();
    }

    /**
     * Told by the close itself: the pipeline's word comes a task later, after what this turn of the
     * loop has read was sent on.
     */
    private void gone() {
        phase = Phase.CLOSED;
        for (Slot slot : List.copyOf(unanswered)) {
            if (slot.answer == null && slot.held != null) {
                owner.left(slot);
            }
        }
        for (Slot slot : unanswered) {
            if (slot.answer != null) {
                slot.answer.release();
            }
        }
        unanswered.clear();
        output.release();
        owner.closed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof DecoderException && phase == Phase.OPEN) {
            Slot slot = new Slot(this);
            unanswered.add(slot);
            phase = Phase.DRAINING;
            endReason = "protocol error";
            slot.answer(RespBytes.error("ERR protocol error: " + cause.getMessage()));
        } else if (!(cause instanceof DecoderException)) {
            // A reset is how many clients leave; anything else is worth a line.
            endReason = String.valueOf(cause.getMessage());
            if (!(cause instanceof IOException)) {
                LogWriter.warn(
                        "a client's connection failed",
                        "why",
                        cause,
                        "unanswered",
                        unanswered.size());
            }
            ctx.close();
        }
    }
}
