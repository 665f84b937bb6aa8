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
import sagepulley.codec.frame.Frame;
import sagepulley.codec.frame.FrameDecoder;
import sagepulley.codec.frame.FrameEncoder;
import sagepulley.codec.frame.FrameFields;
import sagepulley.codec.frame.MalformedMessageException;

/**
 * A gateway's link to the directory: a connection that is opened when a call needs it. Calls fail
 * when the connection ends or does not come, or no answer in two seconds; nothing is asked again
 * here. All on one loop.
 */
public final class DirectoryClient {
    private static final int CONNECT_MS = 2_000;
    private static final int MOST_CALLS = 100_000;
    private static final long ANSWER_MS = 2_000;
    private static final Logger LOG = LoggerFactory.getLogger(DirectoryClient.class);

    /** Told what the directory says, on the loop. */
    public interface Listener {
        /** A list, pushed or asked for. */
        void endpointListReceived(DirectoryMessages.EndpointList listing);

        /** A subscription dropped with its connection, or a call for the list failed. */
        void endpointListFailed(String why);
    }

    /** Told the end of a call, once. */
    public interface ResultHandler<T> {
        void accept(T answer, String failure);
    }

    private final EventLoop loop;
    private final Class<? extends Channel> kind;
    private final SocketAddress address;
    private final long gateway;
    private final String name;
    private final Listener owner;
    private final Map<Long, ResultHandler<Frame>> calls = new HashMap<>();
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

    public DirectoryClient(
            EventLoop loop,
            Class<? extends Channel> kind,
            SocketAddress address,
            long gateway,
            String name,
            Listener owner) {
        this.loop = loop;
        this.kind = kind;
        this.address = address;
        this.gateway = gateway;
        this.name = name;
        this.owner = owner;
    }

    public void subscribe() {
        askList(DirectoryMessages.SUBSCRIBE);
    }

    public void fetch() {
        askList(DirectoryMessages.FETCH);
    }

    /** Which cells hold the extents in a row; -1 for none. */
    public void lookup(int volume, long first, int count, ResultHandler<int[]> ended) {
        long id = ++ids;
        call(
                id,
                DirectoryMessages.lookup(id, volume, first, count),
                (frame, failure) -> {
                    if (frame == null) {
                        ended.accept(null, failure);
                        return;
                    }
                    int[] cells = DirectoryMessages.holders(frame);
                    if (cells.length != count) {
                        throw new MalformedMessageException(
                                "holders of " + cells.length + " extents, asked " + count);
                    }
                    ended.accept(cells, null);
                });
    }

    /**
     * Claims an extent for a cell; the answer is the cell that holds it now, whoever claimed first.
     */
    public void claim(int volume, long extent, int cell, ResultHandler<Integer> ended) {
        long id = ++ids;
        call(
                id,
                DirectoryMessages.claim(id, volume, extent, cell),
                (frame, failure) ->
                        ended.accept(
                                frame == null
                                        ? null
                                        : (Integer) FrameFields.requireHead(frame, 4).readInt(),
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
        void accept(Frame frame, String failure) throws MalformedMessageException;
    }

    private void askList(int type) {
        long id = ++ids;
        call(
                id,
                new Frame(type, id),
                (frame, failure) -> {
                    if (frame == null) {
                        owner.endpointListFailed(failure);
                    } else {
                        subscribed |= type == DirectoryMessages.SUBSCRIBE;
                        owner.endpointListReceived(DirectoryMessages.list(frame));
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
                            ResultHandler<Frame> late = calls.remove(id);
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
                    } catch (MalformedMessageException bad) {
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
        } catch (MalformedMessageException never) {
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
        List<ResultHandler<Frame>> ended = new ArrayList<>(calls.values());
        calls.clear();
        if (subscribed) {
            subscribed = false;
            owner.endpointListFailed(why);
        }
        for (ResultHandler<Frame> call : ended) {
            call.accept(null, why);
        }
    }

    private final class Talk extends ChannelInboundHandlerAdapter {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            open = true;
            ctx.write(DirectoryMessages.hello(gateway, name));
            unsent.forEach(ctx::write);
            unsent.clear();
            ctx.flush();
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message)
                throws MalformedMessageException {
            Frame frame = (Frame) message;
            try {
                if (ctx.channel() == channel) {
                    told(frame);
                }
            } finally {
                frame.release();
            }
        }

        private void told(Frame frame) throws MalformedMessageException {
            if (frame.type() == DirectoryMessages.LIST && frame.id() == 0) {
                owner.endpointListReceived(DirectoryMessages.list(frame));
                return;
            }
            ResultHandler<Frame> call = calls.remove(frame.id());
            if (call == null && abandoned.remove(frame.id())) {
                return;
            }
            if (call == null) {
                throw new MalformedMessageException(
                        "an answer to call " + frame.id() + ", which is not out");
            }
            switch (frame.type()) {
                case DirectoryMessages.FAILED ->
                        call.accept(null, FrameFields.string(frame.head()));
                case DirectoryMessages.LIST, DirectoryMessages.HOLDERS, DirectoryMessages.HOLDER ->
                        call.accept(frame, null);
                default ->
                        throw new MalformedMessageException(
                                "message " + frame.type() + " from the directory");
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
