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
 * A gateway's client of the directory. The connection is opened when a call needs it. Each call
 * ends exactly once: with its answer, or with a failure when the connection ends, cannot be opened,
 * or the call times out. Calls are not retried. The text of a failure may be sent to an NBD client
 * in the reply to a block status request. Confined to its event loop.
 */
public final class DirectoryClient {
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final long CALL_TIMEOUT_MILLIS = 2_000;
    private static final int MAX_PENDING_CALLS = 100_000;
    private static final Logger LOG = LoggerFactory.getLogger(DirectoryClient.class);

    /** Receives endpoint lists and failures, on the event loop. */
    public interface Listener {
        /** Called when an endpoint list has arrived, pushed or requested. */
        void endpointListReceived(DirectoryMessages.EndpointList list);

        /**
         * Called when the subscription has ended with its connection or a request for the list has
         * failed.
         */
        void endpointListFailed(String reason);
    }

    /** Receives the result of a call, once. */
    public interface ResultHandler<T> {
        /** Called with either the answer or the reason of the failure; the other one is null. */
        void accept(T answer, String failure);
    }

    private final EventLoop loop;
    private final FrameConnector connector;
    private final long gateway;
    private final String name;
    private final Listener listener;
    private final Map<Long, ResultHandler<Frame>> calls = new HashMap<>();
    private final List<Frame> unsent = new ArrayList<>();

    /** The most recent calls that timed out, whose answers may still arrive. */
    private final Set<Long> timedOut =
            Collections.newSetFromMap(
                    new LinkedHashMap<>() {
                        private static final long serialVersionUID = 1;

                        @Override
                        protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                            return size() > MAX_PENDING_CALLS;
                        }
                    });

    /** The current channel, set as soon as connecting starts; null if there is none. */
    private Channel channel;

    private boolean open;
    private boolean subscribed;
    private long lastCallId;

    /**
     * Creates an unconnected client.
     *
     * @param gateway the number of this incarnation of the gateway
     * @param name the gateway's name, shown to operators of the directory
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

    /** Requests the endpoint list and all later changes of it. */
    public void subscribe() {
        requestList(DirectoryMessages.SUBSCRIBE);
    }

    /** Requests the endpoint list once. */
    public void fetch() {
        requestList(DirectoryMessages.FETCH);
    }

    /**
     * Looks up the cells that hold consecutive extents; -1 stands for an extent without a holder.
     */
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
                                "holders of " + cells.length + " extents, expected " + count);
                    }
                    result.accept(cells, null);
                });
    }

    /**
     * Claims an extent for a cell. The result is the cell that holds the extent, which is another
     * cell if the extent was claimed for that one first.
     */
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

    /** Returns whether changes of the endpoint list are being pushed. */
    public boolean isSubscribed() {
        return subscribed && open;
    }

    /** Returns whether the connection is open. */
    public boolean isOpen() {
        return open;
    }

    /** Closes the connection; pending calls fail. */
    public void close() {
        if (channel != null) {
            Channel closing = channel;
            subscribed = false;
            disconnected(closing, "closed");
            closing.close();
        }
    }

    /** Decodes an answer or handles a failure; throws if the answer is malformed. */
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
            fail(reader, "too many pending calls");
            return;
        }
        // Bounds the wait for a directory that accepts calls and does not answer.
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
            call.accept(null, "no answer within " + CALL_TIMEOUT_MILLIS + " ms");
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
            throw new IllegalStateException("reader failed without an answer", unexpected);
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
                        "answer to call " + frame.id() + ", which is not pending");
            }
            switch (frame.type()) {
                case DirectoryMessages.FAILED ->
                        call.accept(null, FrameFields.string(frame.head()));
                case DirectoryMessages.LIST, DirectoryMessages.HOLDERS, DirectoryMessages.HOLDER ->
                        call.accept(frame, null);
                default ->
                        throw new MalformedMessageException(
                                "unexpected message type " + frame.type() + " from the directory");
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
