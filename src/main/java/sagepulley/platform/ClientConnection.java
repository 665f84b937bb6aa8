package sagepulley.platform;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderException;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.List;
import sagepulley.resp.Resp;
import sagepulley.resp.RespBytes;
import sagepulley.resp.RespDecoder;

/** One client's connection: its commands in, its answers out in the order of the commands. On the loop. */
final class ClientConnection extends ChannelInboundHandlerAdapter {
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
    private boolean ending;
    private boolean closed;
    /** When it connected, when it last did something, and since when it has read nothing of what waits. */
    double connectedAt;
    double activeAt;
    double stuckSince = Double.POSITIVE_INFINITY;
    /** Whether a whole command that could be read has come. */
    boolean asked;

    ClientConnection(Owner owner, RespDecoder decoder) {
        this.owner = owner;
        this.decoder = decoder;
    }

    boolean isIdle() {
        return unanswered.isEmpty() && !decoder.inMiddle();
    }

    boolean hasOpen() {
        return !unanswered.isEmpty();
    }

    /** How long ago the command that is being read came. */
    double cameAgo(Arrival arrival) {
        return arrival.ago(channel, activeAt - connectedAt);
    }

    /** Takes nothing more, and closes once all that was taken is answered. */
    void end() {
        ending = true;
        if (channel != null) {
            channel.config().setAutoRead(false);
            advance();
        }
    }

    void close() {
        if (channel != null) {
            channel.close();
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        connectedAt = owner.now();
        activeAt = connectedAt;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        activeAt = owner.now();
        if (ending) {
            return;
        }
        Slot slot = new Slot(this);
        unanswered.add(slot);
        List<byte[]> words = BlockCommand.words((Resp.Array) message);
        String verb = BlockCommand.text(words.get(0));
        switch (verb) {
            case BlockCommand.READ, BlockCommand.WRITE -> owner.asked(this, slot, words);
            case "PING" -> {
                asked = true;
                slot.answer(words.size() == 1 ? RespBytes.simple("PONG")
                        : RespBytes.error("ERR wrong number of words"));
            }
            default -> slot.answer(RespBytes.error("ERR unknown command"));
        }
        pace();
    }

    private void advance() {
        boolean wrote = false;
        while (!unanswered.isEmpty() && unanswered.peek().answer != null) {
            ByteBuf bytes = unanswered.poll().answer;
            if (closed) {
                bytes.release();
            } else {
                channel.write(bytes, channel.voidPromise());
                wrote = true;
            }
        }
        if (closed) {
            return;
        }
        if (wrote) {
            activeAt = owner.now();
            channel.flush();
        }
        if (ending && unanswered.isEmpty()) {
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER)
                    .addListener(ChannelFutureListener.CLOSE);
        }
        pace();
    }

    private void pace() {
        if (!closed) {
            channel.config().setAutoRead(!ending && unanswered.size() < MOST_UNANSWERED
                    && channel.isWritable());
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        stuckSince = ctx.channel().isWritable() ? Double.POSITIVE_INFINITY : owner.now();
        pace();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        closed = true;
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
        owner.closed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof DecoderException && !ending) {
            Slot slot = new Slot(this);
            unanswered.add(slot);
            ending = true;
            slot.answer(RespBytes.error("ERR protocol error: " + cause.getMessage()));
        } else if (!(cause instanceof DecoderException)) {
            // A reset is how many clients leave; anything else is worth a line.
            if (!(cause instanceof IOException)) {
                Log.warn("a client's connection failed", "why", cause, "unanswered", unanswered.size());
            }
            ctx.close();
        }
    }
}
