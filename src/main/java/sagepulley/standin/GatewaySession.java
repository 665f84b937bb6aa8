package sagepulley.standin;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import sagepulley.codec.frame.Frame;
import sagepulley.codec.frame.FrameFields;
import sagepulley.codec.frame.MalformedMessageException;
import sagepulley.upstream.frame.StoreMessages;

/** Handles one gateway's connection to a stand-in node: decodes its messages and writes answers. */
final class GatewaySession extends ChannelInboundHandlerAdapter {
    /** Handles a gateway's messages at the node; called on the node's loop. */
    interface Listener {
        /** Called when the connection is up, before the gateway's hello. */
        void sessionOpened(GatewaySession session);

        /** Called when the gateway's hello has arrived. */
        void helloReceived(GatewaySession session);

        /** Called for each attempt received; the listener owns its payload. */
        void attemptReceived(PendingAttempt attempt);

        /** Called when the gateway cancels an attempt. */
        void attemptCancelled(GatewaySession session, long attempt);

        /** Called when the gateway sends a health check; the answer carries the node's load. */
        void healthCheckReceived(GatewaySession session, long id);

        /** Called when the gateway requests an extent's write token. */
        void writeTokenRequested(GatewaySession session, ExtentKey extent, long requestId);

        /** Called when the connection has ended. */
        void sessionClosed(GatewaySession session);
    }

    private static final int EXTENT_KEY_BYTES = Integer.BYTES + Long.BYTES;

    private final Channel channel;
    private final int node;
    private final Faults faults;
    private final TrafficRecorder recorder;
    private final Listener listener;
    private final AnswerWriter answers;
    private long gateway;
    private boolean helloReceived;

    /** Units served through this session, by volume. */
    private final Map<Integer, Double> sessionUnits = new HashMap<>();

    /** Units served through other sessions as of this session's last answer, by volume. */
    private final Map<Integer, Double> reportedOtherUnits = new HashMap<>();

    private final Map<Long, StoreMessages.Send> unanswered = new HashMap<>();

    /** Frames received while the node is paused. */
    private final Queue<Frame> deferredFrames = new ArrayDeque<>();

    GatewaySession(
            Channel channel, int node, Faults faults, TrafficRecorder recorder, Listener listener) {
        this.channel = channel;
        this.node = node;
        this.faults = faults;
        this.recorder = recorder;
        this.listener = listener;
        this.answers = new AnswerWriter(channel, faults);
    }

    /** Returns the gateway's incarnation, or 0 before its hello. */
    long gateway() {
        return gateway;
    }

    boolean isActive() {
        return channel.isActive();
    }

    ByteBuf allocate(int bytes) {
        return channel.alloc().ioBuffer(bytes);
    }

    void send(Frame frame) {
        channel.writeAndFlush(frame);
    }

    void close() {
        channel.close();
    }

    /** Writes the answer to an attempt. */
    void answer(long attempt, StoreMessages.Answer answer, ByteBuf payload) {
        unanswered.remove(attempt);
        answers.write(attempt, answer, payload);
    }

    /** Adds units that were served through this session. */
    void countServed(int volume, double units) {
        sessionUnits.merge(volume, units, Double::sum);
    }

    /**
     * Returns the units of a volume served through other sessions since this session's last answer,
     * and starts the next period.
     *
     * @param servedUnits units of the volume that the node served through all sessions
     */
    float otherUnitsSinceLastAnswer(int volume, double servedUnits) {
        double others = servedUnits - sessionUnits.getOrDefault(volume, 0.0);
        double previous = reportedOtherUnits.getOrDefault(volume, others);
        reportedOtherUnits.put(volume, others);
        return (float) Math.max(0, others - previous);
    }

    /** Handles the frames received while the node was paused. */
    void handleDeferredFrames() {
        for (Frame frame = deferredFrames.poll(); frame != null; frame = deferredFrames.poll()) {
            try {
                handle(frame);
            } catch (MalformedMessageException e) {
                channel.close();
            }
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        listener.sessionOpened(this);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message)
            throws MalformedMessageException {
        Frame frame = (Frame) message;
        if (helloReceived) {
            record(frame);
        }
        if (faults.paused) {
            deferredFrames.add(frame);
            return;
        }
        handle(frame);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        deferredFrames.forEach(Frame::release);
        deferredFrames.clear();
        listener.sessionClosed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }

    /** Records attempts and cancellations on arrival, even while the node is paused. */
    private void record(Frame frame) throws MalformedMessageException {
        if (frame.type() == StoreMessages.SEND) {
            StoreMessages.Send send =
                    StoreMessages.send(
                            new Frame(
                                    frame.type(),
                                    frame.id(),
                                    frame.head().duplicate(),
                                    frame.payload()));
            unanswered.put(frame.id(), send);
            recorder.attemptReceived(node, gateway, send, System.nanoTime());
        } else if (frame.type() == StoreMessages.CANCEL) {
            StoreMessages.Send send = unanswered.remove(frame.id());
            if (send != null) {
                recorder.attemptCancelled(
                        node, gateway, send.operationId(), send.attemptNumber(), System.nanoTime());
            }
        }
    }

    private void handle(Frame frame) throws MalformedMessageException {
        try {
            if (channel.isActive()) {
                dispatch(frame);
            }
        } finally {
            frame.release();
        }
    }

    private void dispatch(Frame frame) throws MalformedMessageException {
        if (!helloReceived && frame.type() != StoreMessages.HELLO) {
            throw new MalformedMessageException(
                    "message type " + frame.type() + " before the hello");
        }
        switch (frame.type()) {
            case StoreMessages.HELLO -> {
                gateway = StoreMessages.hello(frame).gateway();
                helloReceived = true;
                listener.helloReceived(this);
            }
            case StoreMessages.SEND -> {
                StoreMessages.Send send = StoreMessages.send(frame);
                listener.attemptReceived(
                        new PendingAttempt(this, frame.id(), send, frame.payload().retain()));
            }
            case StoreMessages.CANCEL -> listener.attemptCancelled(this, frame.id());
            case StoreMessages.HEALTH_CHECK -> listener.healthCheckReceived(this, frame.id());
            case StoreMessages.ACQUIRE_WRITE_TOKEN -> {
                ByteBuf head = FrameFields.requireHead(frame, EXTENT_KEY_BYTES);
                listener.writeTokenRequested(
                        this, new ExtentKey(head.readInt(), head.readLong()), frame.id());
            }
            default ->
                    throw new MalformedMessageException(
                            "unexpected message type " + frame.type() + " from a gateway");
        }
    }
}
