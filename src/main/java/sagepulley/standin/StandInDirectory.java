package sagepulley.standin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import sagepulley.codec.frame.EventLoops;
import sagepulley.codec.frame.Frame;
import sagepulley.codec.frame.FrameDecoder;
import sagepulley.codec.frame.FrameEncoder;
import sagepulley.codec.frame.FrameFields;
import sagepulley.codec.frame.MalformedMessageException;
import sagepulley.discovery.directory.DirectoryMessages;

/**
 * A small directory: the list of nodes, told late on purpose, and the holder of each extent,
 * claimed once. Nodes register over a socket and count as gone when their connection ends, or are
 * put in by hand. All on one loop; faults may be set from any thread.
 */
public final class StandInDirectory {
    private record ExtentKey(int volume, long extent) {}

    private final EventLoop loop;
    private final TrafficRecorder recorder;

    /** The list as it is, and as it is told. */
    private final Map<Integer, DirectoryMessages.EndpointLine> lines = new LinkedHashMap<>();

    private final Map<Integer, DirectoryMessages.EndpointLine> notifiedLines =
            new LinkedHashMap<>();
    private final Map<ExtentKey, Integer> holders = new HashMap<>();
    private final List<ClientSession> sessions = new ArrayList<>();
    private Channel listener;
    private InetSocketAddress address;
    private long version;
    private volatile double notificationDelayMillis;
    private volatile double answerDelayMillis;

    /** Of which site it says it is; its own history, and the version that it counts from. */
    private volatile String siteName = "";

    private volatile long history = 1;
    private volatile long completeLists;
    private volatile boolean unresponsive;
    private volatile boolean failing;
    private long claims;

    public StandInDirectory(EventLoopGroup group, TrafficRecorder recorder) {
        this.loop = group.next();
        this.recorder = recorder;
    }

    public CompletableFuture<StandInDirectory> start(InetSocketAddress at) {
        CompletableFuture<StandInDirectory> ready = new CompletableFuture<>();
        new ServerBootstrap()
                .group(loop)
                .channel(EventLoops.server())
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                channel.pipeline()
                                        .addLast(
                                                new FrameDecoder(0),
                                                new FrameEncoder(),
                                                new ClientSession(channel));
                            }
                        })
                .bind(at)
                .addListener(
                        (ChannelFuture bound) -> {
                            if (!bound.isSuccess()) {
                                ready.completeExceptionally(bound.cause());
                                return;
                            }
                            listener = bound.channel();
                            address = (InetSocketAddress) listener.localAddress();
                            ready.complete(this);
                        });
        return ready;
    }

    public InetSocketAddress address() {
        return address;
    }

    /** Changes are told so many milliseconds late. */
    public void delayNotifications(double milliseconds) {
        notificationDelayMillis = milliseconds;
    }

    /** Answers calls so many milliseconds late. */
    public void delayAnswers(double milliseconds) {
        answerDelayMillis = milliseconds;
    }

    /**
     * From now on it is another directory: of this site, with a history, a version and lines of its
     * own.
     */
    public CompletableFuture<Void> replaceWith(
            String site,
            long itsHistory,
            long itsVersion,
            List<DirectoryMessages.EndpointLine> itsLines) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        loop.execute(
                () -> {
                    siteName = site;
                    history = itsHistory;
                    version = itsVersion;
                    lines.clear();
                    notifiedLines.clear();
                    for (DirectoryMessages.EndpointLine line : itsLines) {
                        lines.put(line.node(), line);
                        notifiedLines.put(line.node(), line);
                    }
                    done.complete(null);
                });
        return done;
    }

    /** Lists told since the start, whole ones. */
    public long completeLists() {
        return completeLists;
    }

    /** Answers nothing, though connections stand. */
    public void setUnresponsive(boolean now) {
        unresponsive = now;
    }

    /** Answers every call that it failed. */
    public void setFailing(boolean now) {
        failing = now;
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
                    if (listener != null) {
                        listener.close();
                        listener = null;
                    }
                    List.copyOf(sessions).forEach(session -> session.channel.close());
                    stopped.complete(null);
                });
        return stopped;
    }

    /** Comes back at the same address. */
    public CompletableFuture<StandInDirectory> restart() {
        InetSocketAddress at = address;
        return stop().thenCompose(done -> start(at));
    }

    /** How many extents have a holder, and how many claims were answered. */
    public CompletableFuture<long[]> counts() {
        CompletableFuture<long[]> counts = new CompletableFuture<>();
        loop.execute(() -> counts.complete(new long[] {holders.size(), claims}));
        return counts;
    }

    private void update(DirectoryMessages.EndpointLine line) {
        lines.put(line.node(), line);
        double delayMillis = notificationDelayMillis;
        if (delayMillis <= 0) {
            notifyWatchers(line);
        } else {
            loop.schedule(
                    () -> notifyWatchers(line), (long) (delayMillis * 1e6), TimeUnit.NANOSECONDS);
        }
    }

    private void notifyWatchers(DirectoryMessages.EndpointLine line) {
        version++;
        notifiedLines.put(line.node(), line);
        if (!unresponsive) {
            for (ClientSession session : sessions) {
                if (session.subscribed) {
                    session.sendList(0, false, List.of(line));
                }
            }
        }
    }

    /** One connection, of a gateway or a node. */
    private final class ClientSession extends ChannelInboundHandlerAdapter {
        final Channel channel;
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
                told(frame);
            } finally {
                frame.release();
            }
        }

        private void told(Frame frame) throws MalformedMessageException {
            ByteBuf head = frame.head();
            if (frame.type() == DirectoryMessages.HELLO) {
                gateway = FrameFields.requireHead(frame, 10).skipBytes(2).readLong();
            } else if (frame.type() == DirectoryMessages.REGISTER) {
                registered = DirectoryMessages.line(head);
                update(registered);
            } else if (unresponsive) {
                return;
            } else if (failing) {
                channel.writeAndFlush(
                        DirectoryMessages.failed(frame.id(), "the directory is failing"));
            } else if (answerDelayMillis > 0) {
                frame.head().retain();
                frame.payload().retain();
                channel.eventLoop()
                        .schedule(
                                () -> handleDelayed(frame),
                                (long) (answerDelayMillis * 1e6),
                                TimeUnit.NANOSECONDS);
            } else {
                handleRequest(frame);
            }
        }

        private void handleDelayed(Frame frame) {
            try {
                handleRequest(frame);
            } catch (MalformedMessageException e) {
                channel.close();
            } finally {
                frame.release();
            }
        }

        private void handleRequest(Frame frame) throws MalformedMessageException {
            switch (frame.type()) {
                case DirectoryMessages.SUBSCRIBE, DirectoryMessages.FETCH -> {
                    subscribed |= frame.type() == DirectoryMessages.SUBSCRIBE;
                    sendList(frame.id(), true, List.copyOf(notifiedLines.values()));
                }
                case DirectoryMessages.LOOKUP -> {
                    ByteBuf head = FrameFields.requireHead(frame, 16);
                    int volume = head.readInt();
                    long first = head.readLong();
                    int count = head.readInt();
                    if (count < 1 || count > DirectoryMessages.MAX_LOOKUP_EXTENTS) {
                        throw new MalformedMessageException("a look-up of " + count + " extents");
                    }
                    int[] cells = new int[count];
                    for (int i = 0; i < count; i++) {
                        cells[i] = holders.getOrDefault(new ExtentKey(volume, first + i), -1);
                    }
                    channel.writeAndFlush(DirectoryMessages.holders(frame.id(), cells));
                }
                case DirectoryMessages.CLAIM -> {
                    ByteBuf head = FrameFields.requireHead(frame, 16);
                    ExtentKey key = new ExtentKey(head.readInt(), head.readLong());
                    int cell = head.readInt();
                    Integer holder = holders.putIfAbsent(key, cell);
                    claims++;
                    channel.writeAndFlush(
                            DirectoryMessages.holder(frame.id(), holder == null ? cell : holder));
                }
                default ->
                        throw new MalformedMessageException(
                                "message " + frame.type() + " to the directory");
            }
        }

        @SuppressWarnings("ReferenceEquality")
        // a later registration of the node stays

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            sessions.remove(this);
            if (registered != null && lines.get(registered.node()) == registered) {
                update(
                        new DirectoryMessages.EndpointLine(
                                registered.node(),
                                registered.cell(),
                                registered.zone(),
                                registered.kind(),
                                DirectoryMessages.Phase.GONE,
                                registered.startedAt(),
                                registered.weight(),
                                registered.host(),
                                registered.port()));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
