package sagepulley.upstream.frame;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sagepulley.codec.frame.Frame;
import sagepulley.codec.frame.FrameClientHandler;
import sagepulley.codec.frame.FrameConnector;
import sagepulley.codec.frame.FrameFields;
import sagepulley.codec.frame.MalformedMessageException;

/**
 * A gateway's connection to one node, opened when it is first needed. Never sends an attempt twice
 * and does not reconnect on its own. Each attempt that is not cancelled ends exactly once, with an
 * answer or a failure. Confined to its event loop.
 *
 * <p>Before it sends a write, the connection acquires the write token of the extent at the node
 * (docs/protocols.md), so that the node rejects delayed writes of other connections.
 */
public final class NodeConnection {
    /**
     * The maximum number of attempts in flight, including cancelled ones; with more, a cancellation
     * closes the connection as unresponsive.
     */
    static final int MAX_UNANSWERED_ATTEMPTS = 10_000;

    private static final int CONNECT_TIMEOUT_MILLIS = 3_000;
    private static final Logger LOG = LoggerFactory.getLogger(NodeConnection.class);

    /** The reason why an attempt ended without an answer. */
    public enum ConnectionFailure {
        /** The attempt was not written to a connection, so it was not executed. */
        NEVER_SENT,
        /** The attempt might no longer start when its wait had ended, so it was not executed. */
        WITHDRAWN,
        /** The connection ended after the attempt was written; it may have been executed. */
        RESET
    }

    /**
     * Receives the end of each attempt, once, and the events of the connection, on the event loop.
     */
    public interface Listener {
        /** Called when the node has answered an attempt; the listener owns the payload. */
        void answered(long attempt, StoreMessages.Answer answer, ByteBuf payload);

        /** Called when an attempt ended without an answer. */
        void failed(long attempt, ConnectionFailure failure);

        /**
         * Returns whether an attempt that has waited for the connection or a write token may still
         * start. Called right before it is written.
         */
        default boolean mayStart(long attempt) {
            return true;
        }

        /**
         * Called when a cancelled attempt is answered; only the queue and service times are
         * meaningful.
         */
        default void answeredAfterCancel(StoreMessages.Answer answer) {}

        /** Called when the node has answered a health check. */
        void healthReported(long id, float[] loadReport);

        /**
         * Called with the identity of the node; returns false if waiting attempts must not be sent
         * to it.
         */
        boolean handshakeCompleted(StoreMessages.HandshakeReply reply);

        /** Called when the node has announced its graceful shutdown. */
        default void draining() {}

        /** Called when the connection has ended or could not be opened. */
        default void disconnected() {}
    }

    private record UnsentAttempt(long id, StoreMessages.Send send, ByteBuf payload) {}

    private final EventLoop loop;
    private final FrameConnector connector;
    private final int nodeId;
    private final StoreMessages.Hello hello;
    private final Listener listener;
    private final WriteTokens writeTokens = new WriteTokens();

    /** Attempts that wait for the connection or a write token, in order of arrival. */
    private final Map<Long, UnsentAttempt> unsent = new LinkedHashMap<>();

    /**
     * Attempts that were written and not answered; the value is false if the attempt was cancelled.
     */
    private final Map<Long, Boolean> inFlight = new HashMap<>();

    /** The current channel, set as soon as connecting starts; null if there is none. */
    private Channel channel;

    private boolean ready;
    private boolean flushScheduled;

    /**
     * Creates an unconnected instance.
     *
     * @param maxPayloadBytes the maximum payload length that is accepted from the node
     * @param nodeId the expected id of the node at the address
     */
    public NodeConnection(
            EventLoop loop,
            Class<? extends Channel> channelType,
            int maxPayloadBytes,
            int nodeId,
            SocketAddress address,
            StoreMessages.Hello hello,
            Listener listener) {
        this.loop = loop;
        this.connector =
                new FrameConnector(
                        loop, channelType, address, CONNECT_TIMEOUT_MILLIS, maxPayloadBytes);
        this.nodeId = nodeId;
        this.hello = hello;
        this.listener = listener;
    }

    /** Returns the address of the node. */
    public SocketAddress address() {
        return connector.address();
    }

    /**
     * Sends an attempt as soon as the connection is ready, connecting if necessary. The attempt id
     * must be unique. Takes ownership of the payload.
     */
    public void send(long attempt, StoreMessages.Send send, ByteBuf payload) {
        unsent.put(attempt, new UnsentAttempt(attempt, send, payload));
        if (channel == null) {
            connect();
        } else if (ready) {
            sendNow(attempt);
        }
    }

    /**
     * Cancels an attempt, whose end is then not reported to the listener. Returns whether it may
     * have been sent.
     */
    public boolean cancel(long attempt) {
        UnsentAttempt unsentAttempt = unsent.remove(attempt);
        if (unsentAttempt != null) {
            unsentAttempt.payload().release();
            return false;
        }
        if (Boolean.TRUE.equals(inFlight.get(attempt))) {
            inFlight.put(attempt, false);
            write(new Frame(StoreMessages.CANCEL, attempt));
            if (inFlight.size() > MAX_UNANSWERED_ATTEMPTS) {
                LOG.atWarn()
                        .addKeyValue("node", nodeId)
                        .log("too many unanswered attempts, connection closed");
                close();
            }
        }
        return true;
    }

    /** Requests a load report from the node if the connection is ready. */
    public void checkHealth(long id) {
        if (ready) {
            write(new Frame(StoreMessages.HEALTH_CHECK, id));
        }
    }

    /** Closes the connection; all unanswered attempts fail. */
    public void close() {
        if (channel != null) {
            Channel closing = channel;
            disconnected(closing);
            closing.close();
        }
    }

    /** Connects if there is no connection, to obtain the identity of the node. */
    public void ensureConnected() {
        if (channel == null) {
            connect();
        }
    }

    private void connect() {
        ChannelFuture connecting = connector.connect(new Handler());
        channel = connecting.channel();
        connecting.addListener(
                done -> {
                    if (!done.isSuccess()) {
                        LOG.atInfo()
                                .addKeyValue("node", nodeId)
                                .addKeyValue("why", done.cause().getMessage())
                                .log("connection to node failed");
                        disconnected(connecting.channel());
                    }
                });
    }

    /** Sends an attempt that has waited, unless it may no longer start or has been cancelled. */
    private void sendAfterWait(long attempt) {
        if (!unsent.containsKey(attempt)) {
            return;
        }
        if (listener.mayStart(attempt)) {
            sendNow(attempt);
        } else {
            unsent.remove(attempt).payload().release();
            listener.failed(attempt, ConnectionFailure.WITHDRAWN);
        }
    }

    private void sendNow(long attempt) {
        UnsentAttempt unsentAttempt = unsent.get(attempt);
        StoreMessages.Send send = unsentAttempt.send();
        if (send.kind().modifiesData()) {
            var extent = new WriteTokens.ExtentKey(send.volume(), send.extent());
            if (!writeTokens.acquire(extent, attempt, this::write)) {
                return;
            }
        }
        unsent.remove(attempt);
        inFlight.put(attempt, true);
        write(StoreMessages.send(attempt, send, unsentAttempt.payload()));
    }

    private void write(Frame frame) {
        if (channel == null) {
            frame.release();
            return;
        }
        channel.write(frame);
        // Flushes once per event loop iteration.
        if (!flushScheduled) {
            flushScheduled = true;
            loop.execute(
                    () -> {
                        flushScheduled = false;
                        if (channel != null) {
                            channel.flush();
                        }
                    });
        }
    }

    /**
     * Fails all attempts after the connection has ended: written ones as reset, others as never
     * sent.
     */
    private void disconnected(Channel ended) {
        if (channel != ended) {
            return;
        }
        channel = null;
        ready = false;
        writeTokens.clear();
        List<Long> resetAttempts = new ArrayList<>();
        inFlight.forEach(
                (attempt, notCancelled) -> {
                    if (notCancelled) {
                        resetAttempts.add(attempt);
                    }
                });
        inFlight.clear();
        failUnsent();
        for (long attempt : resetAttempts) {
            listener.failed(attempt, ConnectionFailure.RESET);
        }
        listener.disconnected();
    }

    private void failUnsent() {
        List<UnsentAttempt> neverSent = new ArrayList<>(unsent.values());
        unsent.clear();
        for (UnsentAttempt attempt : neverSent) {
            attempt.payload().release();
            listener.failed(attempt.id(), ConnectionFailure.NEVER_SENT);
        }
    }

    private final class Handler extends FrameClientHandler {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            ctx.writeAndFlush(StoreMessages.hello(hello));
        }

        @Override
        protected boolean isCurrent(Channel receiving) {
            return receiving == channel;
        }

        @Override
        protected void received(Frame frame) throws MalformedMessageException {
            switch (frame.type()) {
                case StoreMessages.HANDSHAKE_REPLY ->
                        handshakeCompleted(StoreMessages.handshakeReply(frame));
                case StoreMessages.ANSWER -> answered(frame);
                case StoreMessages.HEALTH_REPORT ->
                        listener.healthReported(frame.id(), StoreMessages.loadReport(frame.head()));
                case StoreMessages.WRITE_TOKEN_GRANTED -> writeTokenGranted(frame.id());
                case StoreMessages.WRITE_TOKEN_REVOKED -> {
                    ByteBuf head = FrameFields.requireHead(frame, 12);
                    writeTokens.onRevoked(
                            new WriteTokens.ExtentKey(head.readInt(), head.readLong()));
                }
                case StoreMessages.DRAINING -> listener.draining();
                default ->
                        throw new MalformedMessageException(
                                "unexpected message type " + frame.type() + " from node");
            }
        }

        private void handshakeCompleted(StoreMessages.HandshakeReply reply)
                throws MalformedMessageException {
            boolean maySend = listener.handshakeCompleted(reply);
            if (reply.node() != nodeId) {
                throw new MalformedMessageException(
                        "handshake reply from node " + reply.node() + ", expected node " + nodeId);
            }
            if (ready) {
                throw new MalformedMessageException("duplicate handshake reply");
            }
            ready = true;
            if (!maySend) {
                failUnsent();
            }
            List.copyOf(unsent.keySet()).forEach(NodeConnection.this::sendAfterWait);
        }

        private void answered(Frame frame) throws MalformedMessageException {
            Boolean notCancelled = inFlight.remove(frame.id());
            if (notCancelled == null) {
                throw new MalformedMessageException(
                        "answer to attempt " + frame.id() + ", which is not in flight");
            }
            StoreMessages.Answer answer = StoreMessages.answer(frame);
            if (answer.code() == StoreMessages.Code.STALE_WRITE_TOKEN) {
                writeTokens.dropGranted();
            }
            if (notCancelled) {
                listener.answered(frame.id(), answer, frame.payload().retain());
            } else {
                listener.answeredAfterCancel(answer);
            }
        }

        private void writeTokenGranted(long requestId) throws MalformedMessageException {
            writeTokens.onGranted(requestId).forEach(NodeConnection.this::sendAfterWait);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            disconnected(ctx.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            LOG.atWarn()
                    .addKeyValue("node", nodeId)
                    .addKeyValue("why", cause.getMessage())
                    .log("connection to node ended");
            disconnected(ctx.channel());
            ctx.close();
        }
    }
}
