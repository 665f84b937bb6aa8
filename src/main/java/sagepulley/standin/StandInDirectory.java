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
 * A small directory: the endpoint list, of which changes are notified late on demand, and the
 * holder of each extent, claimed once. Nodes register over a socket and count as gone when their
 * connection ends, or are put in by a test. All on one loop; faults may be set from any thread.
 */
public final class StandInDirectory {
    private static final double NANOS_PER_MILLI = 1e6;

    /** The directory's answer for an extent without a holder. */
    private static final int NO_CELL = -1;

    private final EventLoop loop;
    private final TrafficRecorder recorder;
    private final FrameServer server;

    /** The list as it is, and as gateways have been notified of it. */
    private final Map<Integer, DirectoryMessages.EndpointLine> lines = new LinkedHashMap<>();

    private final Map<Integer, DirectoryMessages.EndpointLine> notifiedLines =
            new LinkedHashMap<>();
    private final Map<ExtentKey, Integer> holders = new HashMap<>();
    private final List<ClientSession> sessions = new ArrayList<>();
    private long version;
    private long claimsAnswered;
    private volatile double notificationDelayMillis;
    private volatile double answerDelayMillis;

    /** The site that it says it is of; empty where it says none. */
    private volatile String siteName = "";

    /** Which history of versions its version counts in. */
    private volatile long history = 1;

    private volatile long completeLists;
    private volatile boolean unresponsive;
    private volatile boolean failing;

    /** A directory on a loop of the group, which does not listen yet. */
    public StandInDirectory(EventLoopGroup group, TrafficRecorder recorder) {
        this.loop = group.next();
        this.recorder = recorder;
        this.server = new FrameServer(loop, 0, channel -> Optional.of(new ClientSession(channel)));
    }

    /** Starts to listen at an address (port 0: a free one). */
    public CompletableFuture<StandInDirectory> start(InetSocketAddress at) {
        return server.listen(at).thenApply(address -> this);
    }

    /** Where it listens, or listened last; null before its first start. */
    public InetSocketAddress address() {
        return server.address();
    }

    /** Changes are notified so many milliseconds late. */
    public void delayNotifications(double millis) {
        notificationDelayMillis = millis;
    }

    /** Requests are answered so many milliseconds late. */
    public void delayAnswers(double millis) {
        answerDelayMillis = millis;
    }

    /** Answers nothing while this is set, though connections stand. */
    public void setUnresponsive(boolean value) {
        unresponsive = value;
    }

    /** Answers every request that it failed while this is set. */
    public void setFailing(boolean value) {
        failing = value;
    }

    /**
     * From now on it is another directory: of this site, with a history, a version and lines of its
     * own.
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

    /** How many complete lists it has sent since its start. */
    public long completeLists() {
        return completeLists;
    }

    /** A node's line as it now is. */
    public void put(DirectoryMessages.EndpointLine line) {
        loop.execute(() -> update(line));
    }

    /** Goes down with every connection; the holders stay. */
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

    /** Comes back at the same address. */
    public CompletableFuture<StandInDirectory> restart() {
        InetSocketAddress at = address();
        return stop().thenCompose(done -> start(at));
    }

    /** How many extents have a holder, and how many claims were answered. */
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

    /** One connection, of a gateway or a node. */
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
                                "message " + frame.type() + " to the directory");
            }
        }

        private void lookUp(Frame frame) throws MalformedMessageException {
            ByteBuf head = FrameFields.requireHead(frame, 16);
            int volume = head.readInt();
            long first = head.readLong();
            int count = head.readInt();
            if (count < 1 || count > DirectoryMessages.MAX_LOOKUP_EXTENTS) {
                throw new MalformedMessageException("a look-up of " + count + " extents");
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

        @SuppressWarnings("ReferenceEquality")
        // a later registration of the node stays

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

    private static DirectoryMessages.EndpointLine withPhaseGone(DirectoryMessages.EndpointLine line) {
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
