package sagepulley.discovery.directory;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
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
import sagepulley.codec.frame.FrameClientHandler;
import sagepulley.codec.frame.FrameConnector;
import sagepulley.codec.frame.FrameFields;
import sagepulley.codec.frame.MalformedMessageException;

/**
 * A gateway's client of the directory, over a connection that is opened when a call needs it. Each
 * call ends exactly once: with its answer, or failed when the connection ends or cannot be opened,
 * or no answer comes in time. Nothing is retried here. The text of a failure may go on to an NBD
 * client in the reply to a block status. Confined to its event loop.
 */
public final class DirectoryClient {
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final long CALL_TIMEOUT_MILLIS = 2_000;
    private static final int MAX_PENDING_CALLS = 100_000;
    private static final Logger LOG = LoggerFactory.getLogger(DirectoryClient.class);

    /** Receives what the directory says, on the event loop. */
    public interface Listener {
        /** An endpoint list came, pushed or asked for. */
        void endpointListReceived(DirectoryMessages.EndpointList list);

        /** The subscription dropped with its connection, or a call for the list failed. */
        void endpointListFailed(String reason);
    }

    /** Receives the end of a call, once: the answer, or null with the reason of the failure. */
    public interface ResultHandler<T> {
        /** Exactly one of the two is null. */
        void accept(T answer, String failure);
    }

    private final EventLoop loop;
    private final FrameConnector connector;
    private final long gateway;
    private final String name;
    private final Listener listener;
    private final Map<Long, ResultHandler<Frame>> calls = new HashMap<>();
    private final List<Frame> unsent = new ArrayList<>();

    /** The latest calls that timed out, whose answers may still come. */
    private final Set<Long> timedOut =
            Collections.newSetFromMap(
                    new LinkedHashMap<>() {
                        private static final long serialVersionUID = 1;

                        @Override
                        protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                            return size() > MAX_PENDING_CALLS;
                        }
                    });

    /** The connection, from the attempt to connect on; null for none. */
    private Channel channel;

    private boolean open;
    private boolean subscribed;
    private long lastCallId;

    /**
     * A client whose connection is not opened yet.
     *
     * @param gateway the number of this incarnation of the gateway
     * @param name the gateway's name, for operators of the directory
     */
    public DirectoryClient(
            EventLoop loop,
            Class<? extends Channel> channelType,
            SocketAddress address,
            long gateway,
            String name,
            Listener listener) {
        this.loop = loop;
        this.connector = new FrameConnector(loop, channelType, address, CONNECT_TIMEOUT_MILLIS, 0);
        this.gateway = gateway;
        this.name = name;
        this.listener = listener;
    }

    /** Asks for the endpoint list and for every change of it from then on. */
    public void subscribe() {
        requestList(DirectoryMessages.SUBSCRIBE);
    }

    /** Asks for the endpoint list once. */
    public void fetch() {
        requestList(DirectoryMessages.FETCH);
    }

    /** Looks up which cells hold consecutive extents; -1 for none. */
    public void lookup(int volume, long first, int count, ResultHandler<int[]> result) {
        long id = ++lastCallId;
        call(
                id,
                DirectoryMessages.lookup(id, volume, first, count),
                (frame, failure) -> {
                    if (frame == null) {
                        result.accept(null, failure);
                        return;
                    }
                    int[] cells = DirectoryMessages.holders(frame);
                    if (cells.length != count) {
                        throw new MalformedMessageException(
                                "holders of " + cells.length + " extents, asked " + count);
                    }
                    result.accept(cells, null);
                });
    }

    /** Claims an extent for a cell; the answer is the cell that holds it, whoever claimed first. */
    public void claim(int volume, long extent, int cell, ResultHandler<Integer> result) {
        long id = ++lastCallId;
        call(
                id,
                DirectoryMessages.claim(id, volume, extent, cell),
                (frame, failure) ->
                        result.accept(
                                frame == null
                                        ? null
                                        : (Integer) FrameFields.requireHead(frame, 4).readInt(),
                                failure));
    }

    /** Whether a subscription stands, so that every change is pushed. */
    public boolean isSubscribed() {
        return subscribed && open;
    }

    /** Whether the connection is open. */
    public boolean isOpen() {
        return open;
    }

    /** Ends the connection; pending calls fail. */
    public void close() {
        if (channel != null) {
            Channel closing = channel;
            subscribed = false;
            disconnected(closing, "closed");
            closing.close();
        }
    }

    /** Reads an answer, which may turn out malformed. */
    private interface AnswerReader {
        void accept(Frame frame, String failure) throws MalformedMessageException;
    }

    private void requestList(int type) {
        long id = ++lastCallId;
        call(
                id,
                new Frame(type, id),
                (frame, failure) -> {
                    if (frame == null) {
                        listener.endpointListFailed(failure);
                    } else {
                        subscribed |= type == DirectoryMessages.SUBSCRIBE;
                        listener.endpointListReceived(DirectoryMessages.list(frame));
                    }
                });
    }

    private void call(long id, Frame frame, AnswerReader reader) {
        if (calls.size() >= MAX_PENDING_CALLS) {
            frame.release();
            fail(reader, "too many calls are out");
            return;
        }
        // A directory that takes a call and says nothing must not hold its caller for good.
        Future<?> timeout =
                loop.schedule(() -> timeOut(id), CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        calls.put(
                id,
                (answer, failure) -> {
                    timeout.cancel(false);
                    read(reader, answer, failure);
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

    private void timeOut(long id) {
        ResultHandler<Frame> call = calls.remove(id);
        if (call != null) {
            timedOut.add(id);
            call.accept(null, "no answer in " + CALL_TIMEOUT_MILLIS + " ms");
        }
    }

    private void read(AnswerReader reader, Frame answer, String failure) {
        try {
            reader.accept(answer, failure);
        } catch (MalformedMessageException malformed) {
            fail(reader, malformed.getMessage());
            disconnect(malformed.getMessage());
        }
    }

    private static void fail(AnswerReader reader, String reason) {
        try {
            reader.accept(null, reason);
        } catch (MalformedMessageException unexpected) {
            throw new IllegalStateException("a failed call has no answer to read", unexpected);
        }
    }

    private void connect() {
        ChannelFuture connecting = connector.connect(new Handler());
        channel = connecting.channel();
        connecting.addListener(
                done -> {
                    if (!done.isSuccess()) {
                        disconnected(connecting.channel(), done.cause().getMessage());
                    }
                });
    }

    private void disconnect(String reason) {
        if (channel != null) {
            LOG.atWarn().addKeyValue("why", reason).log("connection to directory ended");
            Channel closing = channel;
            disconnected(closing, reason);
            closing.close();
        }
    }

    private void disconnected(Channel ended, String reason) {
        if (channel != ended) {
            return;
        }
        channel = null;
        open = false;
        unsent.forEach(Frame::release);
        unsent.clear();
        timedOut.clear();
        List<ResultHandler<Frame>> failed = new ArrayList<>(calls.values());
        calls.clear();
        if (subscribed) {
            subscribed = false;
            listener.endpointListFailed(reason);
        }
        for (ResultHandler<Frame> call : failed) {
            call.accept(null, reason);
        }
    }

    private final class Handler extends FrameClientHandler {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            open = true;
            ctx.write(DirectoryMessages.hello(gateway, name));
            unsent.forEach(ctx::write);
            unsent.clear();
            ctx.flush();
        }

        @Override
        protected boolean isCurrent(Channel receiving) {
            return receiving == channel;
        }

        @Override
        protected void received(Frame frame) throws MalformedMessageException {
            if (frame.type() == DirectoryMessages.LIST && frame.id() == 0) {
                listener.endpointListReceived(DirectoryMessages.list(frame));
                return;
            }
            ResultHandler<Frame> call = calls.remove(frame.id());
            if (call == null && timedOut.remove(frame.id())) {
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
            disconnected(ctx.channel(), "the directory closed the connection");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            disconnected(ctx.channel(), cause.getMessage());
            ctx.close();
        }
    }
}
