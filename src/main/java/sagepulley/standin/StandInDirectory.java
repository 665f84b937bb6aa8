package sagepulley.standin;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import sagepulley.codec.frame.Frame;
import sagepulley.codec.frame.FrameFields;
import sagepulley.codec.frame.MalformedMessageException;
import sagepulley.discovery.directory.DirectoryMessages;

/**
 * A small directory: keeps the endpoint list, notifies gateways of changes, optionally late, and
 * assigns a holder to each extent on its first claim.
 *
 * <p>Nodes register over a socket and count as gone when their connection ends; tests may also set
 * lines directly. State is confined to one loop; faults may be set on any thread.
 */
public final class StandInDirectory {
    private static final double NANOS_PER_MILLI = 1e6;

    /** Reported as the cell of an extent without a holder. */
    private static final int NO_CELL = -1;

    private final EventLoop loop;
    private final TrafficRecorder recorder;
    private final FrameServer server;

    /** The current lines; notifiedLines holds those that gateways were notified of. */
    private final Map<Integer, DirectoryMessages.EndpointLine> lines = new LinkedHashMap<>();

    private final Map<Integer, DirectoryMessages.EndpointLine> notifiedLines =
            new LinkedHashMap<>();
    private final Map<ExtentKey, Integer> holders = new HashMap<>();
    private final List<ClientSession> sessions = new ArrayList<>();
    private long version;
    private long claimsAnswered;
    private volatile double notificationDelayMillis;
    private volatile double answerDelayMillis;

    /** Site name sent with the list; empty for none. */
    private volatile String siteName = "";

    /** History that the version belongs to. */
    private volatile long history = 1;

    private volatile long completeLists;
    private volatile boolean unresponsive;
    private volatile boolean failing;

    /** Creates a directory on a loop of the group; it does not listen yet. */
    public StandInDirectory(EventLoopGroup group, TrafficRecorder recorder) {
        this.loop = group.next();
        this.recorder = recorder;
        this.server = new FrameServer(loop, 0, channel -> Optional.of(new ClientSession(channel)));
    }

    /** Starts to listen at an address (port 0 picks a free port). */
    public CompletableFuture<StandInDirectory> start(InetSocketAddress at) {
        return server.listen(at).thenApply(address -> this);
    }

    /** Returns the address it listens on or last listened on; null before the first start. */
    public InetSocketAddress address() {
        return server.address();
    }

    /** Delays notifications of later changes by a time in milliseconds. */
    public void delayNotifications(double millis) {
        notificationDelayMillis = millis;
    }

    /** Delays answers to later requests by a time in milliseconds. */
    public void delayAnswers(double millis) {
        answerDelayMillis = millis;
    }

    /** Sets whether requests go unanswered and changes unnotified while connections stay open. */
    public void setUnresponsive(boolean value) {
        unresponsive = value;
    }

    /** Sets whether every request is answered with a failure. */
    public void setFailing(boolean value) {
        failing = value;
    }

    /**
     * Replaces the site name, history, version and lines, as if another directory had taken over.
     */
    public CompletableFuture<Void> replaceWith(
            String newSite,
            long newHistory,
            long newVersion,
            List<DirectoryMessages.EndpointLine> newLines) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        loop.execute(
                () -> {
                    siteName = newSite;
                    history = newHistory;
                    version = newVersion;
                    lines.clear();
                    notifiedLines.clear();
                    for (DirectoryMessages.EndpointLine line : newLines) {
                        lines.put(line.node(), line);
                        notifiedLines.put(line.node(), line);
                    }
                    done.complete(null);
                });
        return done;
    }

    /** Returns the number of complete lists sent. */
    public long completeLists() {
        return completeLists;
    }

    /** Adds or replaces a node's line. */
    public void put(DirectoryMessages.EndpointLine line) {
        loop.execute(() -> update(line));
    }

    /** Stops listening and closes every connection; the holders are kept. */
    public CompletableFuture<Void> stop() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        loop.execute(
                () -> {
                    server.close();
                    List.copyOf(sessions).forEach(session -> session.channel.close());
                    stopped.complete(null);
                });
        return stopped;
    }

    /** Stops, then listens again at the same address. */
    public CompletableFuture<StandInDirectory> restart() {
        InetSocketAddress at = address();
        return stop().thenCompose(done -> start(at));
    }

    /** Returns the number of extents with a holder and the number of claims answered. */
    public CompletableFuture<long[]> counts() {
        CompletableFuture<long[]> counts = new CompletableFuture<>();
        loop.execute(() -> counts.complete(new long[] {holders.size(), claimsAnswered}));
        return counts;
    }

    private void update(DirectoryMessages.EndpointLine line) {
        lines.put(line.node(), line);
        double delayMillis = notificationDelayMillis;
        if (delayMillis <= 0) {
            notifyGateways(line);
        } else {
            loop.schedule(
                    () -> notifyGateways(line),
                    (long) (delayMillis * NANOS_PER_MILLI),
                    TimeUnit.NANOSECONDS);
        }
    }

    private void notifyGateways(DirectoryMessages.EndpointLine line) {
        version++;
        notifiedLines.put(line.node(), line);
        if (unresponsive) {
            return;
        }
        for (ClientSession session : sessions) {
            if (session.subscribed) {
                session.sendList(0, false, List.of(line));
            }
        }
    }

    /** Handles one connection of a gateway or a node. */
    private final class ClientSession extends ChannelInboundHandlerAdapter {
        private final Channel channel;
        private long gateway;
        private boolean subscribed;
        private DirectoryMessages.EndpointLine registered;

        ClientSession(Channel channel) {
            this.channel = channel;
        }

        void sendList(long requestId, boolean complete, List<DirectoryMessages.EndpointLine> sent) {
            completeLists += complete ? 1 : 0;
            recorder.endpointListSent(gateway, complete, sent, System.nanoTime());
            channel.writeAndFlush(
                    DirectoryMessages.list(
                            new DirectoryMessages.EndpointList(
                                    requestId, version, complete, sent, history, siteName)));
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            sessions.add(this);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message)
                throws MalformedMessageException {
            Frame frame = (Frame) message;
            try {
                dispatch(frame);
            } finally {
                frame.release();
            }
        }

        private void dispatch(Frame frame) throws MalformedMessageException {
            if (frame.type() == DirectoryMessages.HELLO) {
                gateway = FrameFields.requireHead(frame, 10).skipBytes(2).readLong();
            } else if (frame.type() == DirectoryMessages.REGISTER) {
                registered = DirectoryMessages.line(frame.head());
                update(registered);
            } else if (unresponsive) {
                return;
            } else if (failing) {
                channel.writeAndFlush(
                        DirectoryMessages.failed(frame.id(), "the directory is failing"));
            } else if (answerDelayMillis > 0) {
                frame.head().retain();
                frame.payload().retain();
                loop.schedule(
                        () -> answerDelayed(frame),
                        (long) (answerDelayMillis * NANOS_PER_MILLI),
                        TimeUnit.NANOSECONDS);
            } else {
                answer(frame);
            }
        }

        private void answerDelayed(Frame frame) {
            try {
                answer(frame);
            } catch (MalformedMessageException e) {
                channel.close();
            } finally {
                frame.release();
            }
        }

        private void answer(Frame frame) throws MalformedMessageException {
            switch (frame.type()) {
                case DirectoryMessages.SUBSCRIBE, DirectoryMessages.FETCH -> {
                    subscribed |= frame.type() == DirectoryMessages.SUBSCRIBE;
                    sendList(frame.id(), true, List.copyOf(notifiedLines.values()));
                }
                case DirectoryMessages.LOOKUP -> lookUp(frame);
                case DirectoryMessages.CLAIM -> claim(frame);
                default ->
                        throw new MalformedMessageException(
                                "unexpected message type " + frame.type() + " to the directory");
            }
        }

        private void lookUp(Frame frame) throws MalformedMessageException {
            ByteBuf head = FrameFields.requireHead(frame, 16);
            int volume = head.readInt();
            long first = head.readLong();
            int count = head.readInt();
            if (count < 1 || count > DirectoryMessages.MAX_LOOKUP_EXTENTS) {
                throw new MalformedMessageException(
                        "lookup of "
                                + count
                                + " extents, expected 1 to "
                                + DirectoryMessages.MAX_LOOKUP_EXTENTS);
            }
            int[] cells = new int[count];
            for (int i = 0; i < count; i++) {
                cells[i] = holders.getOrDefault(new ExtentKey(volume, first + i), NO_CELL);
            }
            channel.writeAndFlush(DirectoryMessages.holders(frame.id(), cells));
        }

        private void claim(Frame frame) throws MalformedMessageException {
            ByteBuf head = FrameFields.requireHead(frame, 16);
            ExtentKey extent = new ExtentKey(head.readInt(), head.readLong());
            int cell = head.readInt();
            Integer holder = holders.putIfAbsent(extent, cell);
            claimsAnswered++;
            channel.writeAndFlush(
                    DirectoryMessages.holder(frame.id(), holder == null ? cell : holder));
        }

        // Compares identities, so that a later registration of the same node is kept.
        @SuppressWarnings("ReferenceEquality")
        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            sessions.remove(this);
            if (registered != null && lines.get(registered.node()) == registered) {
                update(withPhaseGone(registered));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private static DirectoryMessages.EndpointLine withPhaseGone(
            DirectoryMessages.EndpointLine line) {
        return new DirectoryMessages.EndpointLine(
                line.node(),
                line.cell(),
                line.zone(),
                line.kind(),
                DirectoryMessages.Phase.GONE,
                line.startedAt(),
                line.weight(),
                line.host(),
                line.port());
    }
}
