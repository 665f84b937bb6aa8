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
    private record Key(int volume, long extent) {}

    private final EventLoop loop;
    private final TrafficRecorder recorder;

    /** The list as it is, and as it is told. */
    private final Map<Integer, DirectoryMessages.EndpointLine> lines = new LinkedHashMap<>();

    private final Map<Integer, DirectoryMessages.EndpointLine> toldLines = new LinkedHashMap<>();
    private final Map<Key, Integer> holders = new HashMap<>();
    private final List<Talk> talks = new ArrayList<>();
    private Channel listener;
    private InetSocketAddress address;
    private long version;
    private volatile double lag;
    private volatile double slow;

    /** Of which site it says it is; its own history, and the version that it counts from. */
    private volatile String siteName = "";

    private volatile long history = 1;
    private volatile long wholeLists;
    private volatile boolean silent;
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
                                                new Talk(channel));
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
    public void lag(double milliseconds) {
        lag = milliseconds;
    }

    /** Answers calls so many milliseconds late. */
    public void slow(double milliseconds) {
        slow = milliseconds;
    }

    /**
     * From now on it is another directory: of this site, with a history, a version and lines of its
     * own.
     */
    public CompletableFuture<Void> becomes(
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
                    toldLines.clear();
                    for (DirectoryMessages.EndpointLine line : itsLines) {
                        lines.put(line.node(), line);
                        toldLines.put(line.node(), line);
                    }
                    done.complete(null);
                });
        return done;
    }

    /** Lists told since the start, whole ones. */
    public long wholeLists() {
        return wholeLists;
    }

    /** Answers nothing, though connections stand. */
    public void silent(boolean now) {
        silent = now;
    }

    /** Answers every call that it failed. */
    public void failing(boolean now) {
        failing = now;
    }

    /** A node's line as it now is. */
    public void put(DirectoryMessages.EndpointLine line) {
        loop.execute(() -> changed(line));
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
                    List.copyOf(talks).forEach(talk -> talk.channel.close());
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

    private void changed(DirectoryMessages.EndpointLine line) {
        lines.put(line.node(), line);
        double late = lag;
        if (late <= 0) {
            tell(line);
        } else {
            loop.schedule(() -> tell(line), (long) (late * 1e6), TimeUnit.NANOSECONDS);
        }
    }

    private void tell(DirectoryMessages.EndpointLine line) {
        version++;
        toldLines.put(line.node(), line);
        if (!silent) {
            for (Talk talk : talks) {
                if (talk.subscribed) {
                    talk.list(0, false, List.of(line));
                }
            }
        }
    }

    /** One connection, of a gateway or a node. */
    private final class Talk extends ChannelInboundHandlerAdapter {
        final Channel channel;
        private long gateway;
        private boolean subscribed;
        private DirectoryMessages.EndpointLine registered;

        Talk(Channel channel) {
            this.channel = channel;
        }

        void list(long call, boolean whole, List<DirectoryMessages.EndpointLine> told) {
            wholeLists += whole ? 1 : 0;
            recorder.told(gateway, whole, told, System.nanoTime());
            channel.writeAndFlush(
                    DirectoryMessages.list(
                            new DirectoryMessages.EndpointList(
                                    call, version, whole, told, history, siteName)));
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            talks.add(this);
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
                changed(registered);
            } else if (silent) {
                return;
            } else if (failing) {
                channel.writeAndFlush(
                        DirectoryMessages.failed(frame.id(), "the directory is failing"));
            } else if (slow > 0) {
                frame.head().retain();
                frame.payload().retain();
                channel.eventLoop()
                        .schedule(() -> late(frame), (long) (slow * 1e6), TimeUnit.NANOSECONDS);
            } else {
                call(frame);
            }
        }

        private void late(Frame frame) {
            try {
                call(frame);
            } catch (MalformedMessageException e) {
                channel.close();
            } finally {
                frame.release();
            }
        }

        private void call(Frame frame) throws MalformedMessageException {
            switch (frame.type()) {
                case DirectoryMessages.SUBSCRIBE, DirectoryMessages.FETCH -> {
                    subscribed |= frame.type() == DirectoryMessages.SUBSCRIBE;
                    list(frame.id(), true, List.copyOf(toldLines.values()));
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
                        cells[i] = holders.getOrDefault(new Key(volume, first + i), -1);
                    }
                    channel.writeAndFlush(DirectoryMessages.holders(frame.id(), cells));
                }
                case DirectoryMessages.CLAIM -> {
                    ByteBuf head = FrameFields.requireHead(frame, 16);
                    Key key = new Key(head.readInt(), head.readLong());
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

        @SuppressWarnings("ReferenceEquality") // a later registration of the node stays
        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            talks.remove(this);
            if (registered != null && lines.get(registered.node()) == registered) {
                changed(
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
