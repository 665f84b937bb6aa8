package sagepulley.discovery.directory;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sagepulley.codec.frame.BadBytes;
import sagepulley.codec.frame.Fields;
import sagepulley.codec.frame.Frame;
import sagepulley.codec.frame.FrameDecoder;
import sagepulley.codec.frame.FrameEncoder;

/**
 * A gateway's link to the directory: a connection that is opened when a call needs it. Calls fail
 * when the connection ends or does not come, or no answer in two seconds; nothing is asked again
 * here. All on one loop.
 */
public final class DirectoryLink {
    private static final int CONNECT_MS = 2_000;
    private static final int MOST_CALLS = 100_000;
    private static final long ANSWER_MS = 2_000;
    private static final Logger LOG = LoggerFactory.getLogger(DirectoryLink.class);

    /** Told what the directory says, on the loop. */
    public interface Owner {
        /** A list, pushed or asked for. */
        void listed(DirectoryWire.Listing listing);

        /** A subscription dropped with its connection, or a call for the list failed. */
        void listFailed(String why);
    }

    /** Told the end of a call, once. */
    public interface Ended<T> {
        void accept(T answer, String failure);
    }

    private final EventLoop loop;
    private final Class<? extends Channel> kind;
    private final SocketAddress address;
    private final long gateway;
    private final String name;
    private final Owner owner;
    private final Map<Long, Ended<Frame>> calls = new HashMap<>();
    private final List<Frame> unsent = new ArrayList<>();

    /** Calls that were given up, whose answers may still come; the latest ones. */
    private final Set<Long> abandoned =
            Collections.newSetFromMap(
                    new LinkedHashMap<>() {
                        private static final long serialVersionUID = 1;

                        @Override
                        protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                            return size() > MOST_CALLS;
                        }
                    });

    private Channel channel;
    private boolean open;
    private boolean subscribed;
    private long ids;

    public DirectoryLink(
            EventLoop loop,
            Class<? extends Channel> kind,
            SocketAddress address,
            long gateway,
            String name,
            Owner owner) {
        this.loop = loop;
        this.kind = kind;
        this.address = address;
        this.gateway = gateway;
        this.name = name;
        this.owner = owner;
    }

    public void subscribe() {
        askList(DirectoryWire.SUBSCRIBE);
    }

    public void fetch() {
        askList(DirectoryWire.FETCH);
    }

    /** Which cells hold the extents in a row; -1 for none. */
    public void lookup(int volume, long first, int count, Ended<int[]> ended) {
        long id = ++ids;
        call(
                id,
                DirectoryWire.lookup(id, volume, first, count),
                (frame, failure) -> {
                    if (frame == null) {
                        ended.accept(null, failure);
                        return;
                    }
                    int[] cells = DirectoryWire.holders(frame);
                    if (cells.length != count) {
                        throw new BadBytes(
                                "holders of " + cells.length + " extents, asked " + count);
                    }
                    ended.accept(cells, null);
                });
    }

    /**
     * Claims an extent for a cell; the answer is the cell that holds it now, whoever claimed first.
     */
    public void claim(int volume, long extent, int cell, Ended<Integer> ended) {
        long id = ++ids;
        call(
                id,
                DirectoryWire.claim(id, volume, extent, cell),
                (frame, failure) ->
                        ended.accept(
                                frame == null ? null : (Integer) Fields.need(frame, 4).readInt(),
                                failure));
    }

    /** Whether a subscription stands, so that every change is told. */
    public boolean isSubscribed() {
        return subscribed && open;
    }

    /** Whether a connection stands. */
    public boolean isOpen() {
        return open;
    }

    public void close() {
        if (channel != null) {
            Channel old = channel;
            subscribed = false;
            lost(old, "closed");
            old.close();
        }
    }

    /** Reads an answer, which may turn out malformed. */
    private interface Reading {
        void accept(Frame frame, String failure) throws BadBytes;
    }

    private void askList(int type) {
        long id = ++ids;
        call(
                id,
                new Frame(type, id),
                (frame, failure) -> {
                    if (frame == null) {
                        owner.listFailed(failure);
                    } else {
                        subscribed |= type == DirectoryWire.SUBSCRIBE;
                        owner.listed(DirectoryWire.list(frame));
                    }
                });
    }

    private void call(long id, Frame frame, Reading reading) {
        if (calls.size() >= MOST_CALLS) {
            frame.release();
            fail((any, why) -> reading.accept(null, why), "too many calls are out");
            return;
        }
        // A directory that takes a call and says nothing must not hold its asker for good.
        Future<?> timer =
                loop.schedule(
                        () -> {
                            Ended<Frame> late = calls.remove(id);
                            if (late != null) {
                                abandoned.add(id);
                                late.accept(null, "no answer in " + ANSWER_MS + " ms");
                            }
                        },
                        ANSWER_MS,
                        TimeUnit.MILLISECONDS);
        calls.put(
                id,
                (answer, failure) -> {
                    timer.cancel(false);
                    try {
                        reading.accept(answer, failure);
                    } catch (BadBytes bad) {
                        fail((any, why) -> reading.accept(null, why), bad.getMessage());
                        broken(bad.getMessage());
                    }
                });
        if (open) {
            channel.writeAndFlush(frame);
            return;
        }
        unsent.add(frame);
        if (channel == null) {
            connect();
        }
    }

    private static void fail(Reading reading, String why) {
        try {
            reading.accept(null, why);
        } catch (BadBytes never) {
            throw new IllegalStateException(never);
        }
    }

    private void connect() {
        var connecting =
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
                                                        new FrameDecoder(0),
                                                        new FrameEncoder(),
                                                        new Talk());
                                    }
                                })
                        .connect(address);
        channel = connecting.channel();
        connecting.addListener(
                done -> {
                    if (!done.isSuccess()) {
                        lost(connecting.channel(), done.cause().getMessage());
                    }
                });
    }

    private void broken(String why) {
        if (channel != null) {
            LOG.atWarn().addKeyValue("why", why).log("link to the directory ends");
            Channel old = channel;
            lost(old, why);
            old.close();
        }
    }

    private void lost(Channel which, String why) {
        if (channel != which) {
            return;
        }
        channel = null;
        open = false;
        unsent.forEach(Frame::release);
        unsent.clear();
        abandoned.clear();
        List<Ended<Frame>> ended = new ArrayList<>(calls.values());
        calls.clear();
        if (subscribed) {
            subscribed = false;
            owner.listFailed(why);
        }
        for (Ended<Frame> call : ended) {
            call.accept(null, why);
        }
    }

    private final class Talk extends ChannelInboundHandlerAdapter {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            open = true;
            ctx.write(DirectoryWire.hello(gateway, name));
            unsent.forEach(ctx::write);
            unsent.clear();
            ctx.flush();
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) throws BadBytes {
            Frame frame = (Frame) message;
            try {
                if (ctx.channel() == channel) {
                    told(frame);
                }
            } finally {
                frame.release();
            }
        }

        private void told(Frame frame) throws BadBytes {
            if (frame.type() == DirectoryWire.LIST && frame.id() == 0) {
                owner.listed(DirectoryWire.list(frame));
                return;
            }
            Ended<Frame> call = calls.remove(frame.id());
            if (call == null && abandoned.remove(frame.id())) {
                return;
            }
            if (call == null) {
                throw new BadBytes("an answer to call " + frame.id() + ", which is not out");
            }
            switch (frame.type()) {
                case DirectoryWire.FAILED -> call.accept(null, Fields.string(frame.head()));
                case DirectoryWire.LIST, DirectoryWire.HOLDERS, DirectoryWire.HOLDER ->
                        call.accept(frame, null);
                default -> throw new BadBytes("message " + frame.type() + " from the directory");
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            lost(ctx.channel(), "the directory closed the connection");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            lost(ctx.channel(), cause.getMessage());
            ctx.close();
        }
    }
}
