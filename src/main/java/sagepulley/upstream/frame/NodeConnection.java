package sagepulley.upstream.frame;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sagepulley.codec.frame.Frame;
import sagepulley.codec.frame.FrameDecoder;
import sagepulley.codec.frame.FrameEncoder;
import sagepulley.codec.frame.FrameFields;
import sagepulley.codec.frame.MalformedMessageException;

/**
 * The link of a gateway to one node: a connection that is opened when an attempt needs it. It
 * carries out and decides nothing: it never sends an attempt twice, nor opens a connection but when
 * asked. All on one loop.
 *
 * <p>Before a write goes out, the link takes the extent's pen at the node (docs/protocols.md,
 * Pens): a write of another link that comes late is then refused there.
 */
public final class NodeConnection {
    /**
     * Attempts that were given up but never answered; with more the connection is taken for dead.
     */
    static final int MOST_UNANSWERED = 10_000;

    private static final int MOST_PENS = 1 << 16;
    private static final int CONNECT_MS = 3_000;
    private static final Logger LOG = LoggerFactory.getLogger(NodeConnection.class);

    /** How an attempt ended that got no answer. */
    public enum ConnectionFailure {
        NEVER_SENT,
        RESET
    }

    /** Told the ends of attempts, each once, on the loop. */
    public interface Listener {
        /** The payload changes hands. */
        void answered(long attempt, StoreMessages.Answer answer, ByteBuf payload);

        void failed(long attempt, ConnectionFailure how);

        /**
         * An attempt that was given up was answered after all: all that counts is what the node
         * tells of its time.
         */
        default void answeredAfterCancel(StoreMessages.Answer answer) {}

        void healthReported(long id, float[] report);

        /** A connection stands; false if what waited for it must not go out as it is. */
        boolean handshakeCompleted(StoreMessages.HandshakeReply welcome);

        /** The node says that it drains. */
        default void draining() {}

        /** The connection is gone, or did not come about. */
        default void disconnected() {}
    }

    private record PenKey(int volume, long extent) {}

    private record Parcel(long attempt, StoreMessages.Send send, ByteBuf payload) {}

    private static final class Pen {
        boolean granted;
        final ArrayDeque<Long> waiting = new ArrayDeque<>(2);
    }

    private final EventLoop loop;
    private final Class<? extends Channel> kind;
    private final int longestPayload;
    private final int node;
    private final SocketAddress address;
    private final StoreMessages.Hello hello;
    private final Listener owner;

    /** Attempts not yet written, in order: for the connection, or for a pen. */
    private final Map<Long, Parcel> unsent = new LinkedHashMap<>();

    /** Attempts written and not answered; false once given up here. */
    private final Map<Long, Boolean> out = new HashMap<>();

    private final Map<PenKey, Pen> pens = new HashMap<>();
    private final Map<Long, PenKey> pensAsked = new HashMap<>();
    private Channel channel;
    private boolean welcomed;
    private boolean flushDue;
    private long penIds;

    public NodeConnection(
            EventLoop loop,
            Class<? extends Channel> kind,
            int longestPayload,
            int node,
            SocketAddress address,
            StoreMessages.Hello hello,
            Listener owner) {
        this.loop = loop;
        this.kind = kind;
        this.longestPayload = longestPayload;
        this.node = node;
        this.address = address;
        this.hello = hello;
        this.owner = owner;
    }

    public SocketAddress address() {
        return address;
    }

    /**
     * Sends an attempt, once a connection stands; its number must be new. The payload changes
     * hands.
     */
    public void send(long attempt, StoreMessages.Send send, ByteBuf payload) {
        unsent.put(attempt, new Parcel(attempt, send, payload));
        if (channel == null) {
            connect();
        } else if (welcomed) {
            forward(attempt);
        }
    }

    /** Gives an attempt up: it will not be told of any more. Tells whether it may have gone out. */
    public boolean cancel(long attempt) {
        Parcel parcel = unsent.remove(attempt);
        if (parcel != null) {
            parcel.payload().release();
            return false;
        }
        if (Boolean.TRUE.equals(out.get(attempt))) {
            out.put(attempt, false);
            write(new Frame(StoreMessages.CANCEL, attempt));
            if (out.size() > MOST_UNANSWERED) {
                LOG.atWarn()
                        .addKeyValue("node", node)
                        .log("too many hops without answer, link closed");
                close();
            }
        }
        return true;
    }

    public void checkHealth(long id) {
        if (welcomed) {
            write(new Frame(StoreMessages.HEALTH_CHECK, id));
        }
    }

    /** Ends the connection; attempts that are out are told as broken. */
    public void close() {
        if (channel != null) {
            Channel old = channel;
            lost(old);
            old.close();
        }
    }

    /** Opens a connection if there is none, so that the node says who it is. */
    public void ensureConnected() {
        if (channel == null) {
            connect();
        }
    }

    private void connect() {
        Bootstrap bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(kind)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                        .handler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel fresh) {
                                        fresh.pipeline()
                                                .addLast(
                                                        new FrameDecoder(longestPayload),
                                                        new FrameEncoder(),
                                                        new Talk());
                                    }
                                });
        var connecting = bootstrap.connect(address);
        channel = connecting.channel();
        connecting.addListener(
                done -> {
                    if (!done.isSuccess()) {
                        LOG.atInfo()
                                .addKeyValue("node", node)
                                .addKeyValue("why", done.cause().getMessage())
                                .log("no connection to node");
                        lost(connecting.channel());
                    }
                });
    }

    private void forward(long attempt) {
        Parcel parcel = unsent.get(attempt);
        if (parcel.send().kind().modifiesData()) {
            PenKey key = new PenKey(parcel.send().volume(), parcel.send().extent());
            Pen pen = pens.get(key);
            if (pen == null) {
                if (pens.size() >= MOST_PENS) {
                    pens.values().removeIf(any -> any.granted);
                }
                pen = new Pen();
                pens.put(key, pen);
                pensAsked.put(++penIds, key);
                write(
                        StoreMessages.writeToken(
                                StoreMessages.ACQUIRE_WRITE_TOKEN,
                                penIds,
                                key.volume(),
                                key.extent()));
            }
            if (!pen.granted) {
                pen.waiting.add(attempt);
                return;
            }
        }
        unsent.remove(attempt);
        out.put(attempt, true);
        write(StoreMessages.send(attempt, parcel.send(), parcel.payload()));
    }

    private void write(Frame frame) {
        if (channel == null) {
            frame.release();
            return;
        }
        channel.write(frame);
        // All that one turn of the loop sends goes to the socket together.
        if (!flushDue) {
            flushDue = true;
            loop.execute(
                    () -> {
                        flushDue = false;
                        if (channel != null) {
                            channel.flush();
                        }
                    });
        }
    }

    /** The connection is gone, or there was none: what was out may have run, the rest did not. */
    private void lost(Channel which) {
        if (channel != which) {
            return;
        }
        channel = null;
        welcomed = false;
        pens.clear();
        pensAsked.clear();
        List<Long> reset = new ArrayList<>();
        out.forEach(
                (attempt, wanted) -> {
                    if (wanted) {
                        reset.add(attempt);
                    }
                });
        out.clear();
        returnUnsent();
        for (long attempt : reset) {
            owner.failed(attempt, ConnectionFailure.RESET);
        }
        owner.disconnected();
    }

    private void returnUnsent() {
        List<Parcel> never = new ArrayList<>(unsent.values());
        unsent.clear();
        for (Parcel parcel : never) {
            parcel.payload().release();
            owner.failed(parcel.attempt(), ConnectionFailure.NEVER_SENT);
        }
    }

    private final class Talk extends ChannelInboundHandlerAdapter {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            ctx.writeAndFlush(StoreMessages.hello(hello));
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message)
                throws MalformedMessageException {
            Frame frame = (Frame) message;
            if (ctx.channel() != channel) {
                frame.release();
                return;
            }
            try {
                told(frame);
            } finally {
                frame.release();
            }
        }

        private void told(Frame frame) throws MalformedMessageException {
            switch (frame.type()) {
                case StoreMessages.HANDSHAKE_REPLY -> welcome(StoreMessages.handshakeReply(frame));
                case StoreMessages.ANSWER -> answer(frame);
                case StoreMessages.HEALTH_REPORT ->
                        owner.healthReported(frame.id(), StoreMessages.loadReport(frame.head()));
                case StoreMessages.WRITE_TOKEN_GRANTED -> pen(frame);
                case StoreMessages.DRAINING -> owner.draining();
                case StoreMessages.WRITE_TOKEN_REVOKED -> {
                    ByteBuf head = FrameFields.requireHead(frame, 12);
                    PenKey key = new PenKey(head.readInt(), head.readLong());
                    Pen pen = pens.get(key);
                    if (pen != null && pen.granted) {
                        pens.remove(key);
                    }
                }
                default ->
                        throw new MalformedMessageException(
                                "message " + frame.type() + " from a node");
            }
        }

        private void welcome(StoreMessages.HandshakeReply welcome)
                throws MalformedMessageException {
            boolean goesOut = owner.handshakeCompleted(welcome);
            if (welcome.node() != node) {
                throw new MalformedMessageException(
                        "node " + welcome.node() + " answers where " + node + " is listed");
            }
            if (welcomed) {
                throw new MalformedMessageException("a second welcome");
            }
            welcomed = true;
            if (!goesOut) {
                returnUnsent();
            }
            for (long attempt : List.copyOf(unsent.keySet())) {
                forward(attempt);
            }
        }

        private void answer(Frame frame) throws MalformedMessageException {
            Boolean wanted = out.remove(frame.id());
            if (wanted == null) {
                throw new MalformedMessageException(
                        "an answer to hop " + frame.id() + ", which is not out");
            }
            StoreMessages.Answer answer = StoreMessages.answer(frame);
            if (answer.code() == StoreMessages.Code.STALE_WRITE_TOKEN) {
                pens.values().removeIf(any -> any.granted);
            }
            if (wanted) {
                owner.answered(frame.id(), answer, frame.payload().retain());
            } else {
                owner.answeredAfterCancel(answer);
            }
        }

        private void pen(Frame frame) throws MalformedMessageException {
            PenKey key = pensAsked.remove(frame.id());
            Pen pen = key == null ? null : pens.get(key);
            if (pen == null) {
                throw new MalformedMessageException("a pen that was not asked for");
            }
            pen.granted = true;
            for (Long attempt = pen.waiting.poll(); attempt != null; attempt = pen.waiting.poll()) {
                if (unsent.containsKey(attempt)) {
                    forward(attempt);
                }
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            lost(ctx.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            LOG.atWarn()
                    .addKeyValue("node", node)
                    .addKeyValue("why", cause.getMessage())
                    .log("link ends");
            lost(ctx.channel());
            ctx.close();
        }
    }
}
