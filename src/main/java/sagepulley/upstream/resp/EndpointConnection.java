package sagepulley.upstream.resp;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.unix.UnixChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import sagepulley.codec.resp.InputBudget;
import sagepulley.codec.resp.Resp;
import sagepulley.codec.resp.RespDecoder;
import sagepulley.codec.resp.RespEncoder;
import sagepulley.codec.resp.RespLimits;
import sagepulley.model.Outcome;
import sagepulley.transport.KernelReceiveTime;
import sagepulley.transport.SocketWriter;
import sagepulley.transport.Transport;
import sagepulley.upstream.resp.EndpointConnectionPool.CommandSource;
import sagepulley.upstream.resp.EndpointConnectionPool.ResultListener;

/**
 * A connection to an endpoint with at most one request in flight. Each request ends in exactly one
 * outcome. Runs on the event loop; times are in milliseconds.
 */
final class EndpointConnection extends ChannelInboundHandlerAdapter {
    private static final int MAX_LINE_BYTES = 512;
    private static final int REPLY_ITEM_COUNT = 3;
    private static final int MAX_OTHER_ITEMS_BYTES = 2048;
    private static final RespLimits LIMITS =
            RespLimits.replies(
                    MAX_LINE_BYTES,
                    RespLimits.MAX_VALUE_BYTES,
                    RespLimits.MAX_VALUE_BYTES + MAX_OTHER_ITEMS_BYTES,
                    REPLY_ITEM_COUNT);

    /** Timeouts on the wire are whole milliseconds, so nothing is sent with less time remaining. */
    private static final double MIN_TIMEOUT_MILLIS = 1;

    private static final double NANOS_PER_MILLI = 1e6;

    /** Receives the events of a connection. */
    interface PoolListener {
        /** Called when the connection has no request in flight and can take the next one. */
        void onIdle(EndpointConnection connection);

        /** Called when the connection is closed; the reason is for the log. */
        void onClosed(EndpointConnection connection, String reason);

        /** Called for a reply that cannot be used; the reason describes its defect. */
        void onInvalidReply(String reason);
    }

    /**
     * Resources shared by all connections of a pool.
     *
     * @param stallTimeoutMillis maximum pause within a reply before it counts as invalid
     * @param receiveTime determines when bytes arrived at this host
     * @param staleCheckBuffer receives the byte read to check an idle connection
     * @param replyBudget accounts for replies received in part
     */
    record SharedResources(
            Transport transport,
            EventLoop loop,
            double connectTimeoutMillis,
            double stallTimeoutMillis,
            DoubleSupplier clock,
            KernelReceiveTime receiveTime,
            ByteBuffer staleCheckBuffer,
            InputBudget replyBudget) {}

    private final SocketAddress address;
    private final SharedResources shared;
    private final PoolListener pool;
    private final RespDecoder decoder;
    private Channel channel;
    private SocketWriter writer;
    private CommandSource command;
    private double deadline;

    /** Listener of the request in flight; null if there is none. */
    private ResultListener listener;

    private ScheduledFuture<?> timeoutTask;
    private ScheduledFuture<?> stallTask;
    private boolean connected;
    private boolean commandWritten;
    private boolean closed;
    private double idleSince = Double.NaN;
    private double startedAt;

    EndpointConnection(SocketAddress address, SharedResources shared, PoolListener pool) {
        this.address = address;
        this.shared = shared;
        this.pool = pool;
        this.decoder = new RespDecoder(LIMITS, shared.replyBudget());
    }

    SocketAddress address() {
        return address;
    }

    /** Returns the time at which the last reply was read; NaN while a request is in flight. */
    double idleSince() {
        return idleSince;
    }

    /** Returns whether the request's command has been written in full. */
    boolean isCommandWritten() {
        return commandWritten;
    }

    // ---- requests ----

    /** Starts a request that ends no later than the timeout, and connects first if necessary. */
    void start(CommandSource commandToSend, double timeoutMillis, ResultListener resultListener) {
        command = commandToSend;
        startedAt = now();
        deadline = startedAt + timeoutMillis;
        listener = resultListener;
        commandWritten = false;
        idleSince = Double.NaN;
        timeoutTask = schedule(this::onTimeout, Math.max(1, timeoutMillis * NANOS_PER_MILLI));
        if (connected) {
            write();
        } else {
            connect();
        }
    }

    private void connect() {
        ChannelFuture connecting =
                shared.transport()
                        .connector()
                        .option(
                                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                (int) Math.max(1, shared.connectTimeoutMillis()))
                        .handler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel newChannel) {
                                        writer = new SocketWriter(newChannel, written -> {});
                                        newChannel
                                                .pipeline()
                                                .addLast(decoder, EndpointConnection.this);
                                    }
                                })
                        .connect(address);
        channel = Transport.channelOf(connecting);
        Transport.onConnectFailure(connecting, shared.loop(), cause -> end(Outcome.NO_CONNECTION));
    }

    /** Writes the command with the time that remains until the deadline after connecting. */
    private void write() {
        double remainingMillis = deadline - now();
        if (remainingMillis < MIN_TIMEOUT_MILLIS) {
            end(Outcome.NO_CONNECTION);
            return;
        }
        List<byte[]> arguments = command.arguments(remainingMillis);
        if (arguments == null) {
            end(Outcome.NOT_EXECUTED);
            return;
        }
        command = null; // the writer keeps what is not written yet
        writer.write(RespEncoder.command(arguments));
        writer.runAfterFlush(() -> commandWritten = true);
    }

    /** Closes the connection and ends its request, if any, without a reply. */
    void end(Outcome outcome) {
        ResultListener endedRequest = clearRequest();
        close(outcome.name());
        if (endedRequest != null) {
            double endedAt = now();
            // Runs as a separate task, so that no listener is called from within start or cancel.
            shared.loop().execute(() -> endedRequest.onResult(outcome, null, endedAt));
        }
    }

    private ResultListener clearRequest() {
        ResultListener endedRequest = listener;
        listener = null;
        command = null;
        if (timeoutTask != null) {
            timeoutTask.cancel(false);
            timeoutTask = null;
        }
        if (stallTask != null) {
            stallTask.cancel(false);
            stallTask = null;
        }
        return endedRequest;
    }

    /** Closes the connection, which has no request in flight; the reason is for the log. */
    void close(String reason) {
        if (closed) {
            return;
        }
        closed = true;
        decoder.close();
        if (writer != null) {
            writer.close();
        }
        pool.onClosed(this, reason);
        if (channel != null) {
            channel.close();
        }
    }

    /**
     * Returns whether the idle connection has unread input: a FIN, a reset, or bytes that belong to
     * no request. Always false on transports other than native sockets.
     */
    boolean isStale() {
        if (!(channel instanceof UnixChannel socket)) {
            return false;
        }
        try {
            return socket.fd().read(shared.staleCheckBuffer(), 0, 1) != 0;
        } catch (IOException failed) {
            return true;
        }
    }

    // ---- channel events ----

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        connected = true;
        if (listener != null) {
            write();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (listener == null) {
            // Bytes after a reply must not be taken for the reply to the next request.
            close("unexpected bytes");
            return;
        }
        Resp reply = (Resp) message;
        Outcome outcome = outcomeOf(reply);
        ResultListener endedRequest = clearRequest();
        // channelReadComplete returns the connection to the pool once all input has been read.
        idleSince = now();
        double sinceReceived =
                shared.receiveTime().millisSinceReceived(channel, idleSince - startedAt);
        endedRequest.onResult(outcome, reply, idleSince - sinceReceived);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (listener != null && !closed && decoder.hasPartialValue()) {
            restartStallTimeout();
        }
        if (listener != null || closed || Double.isNaN(idleSince)) {
            return;
        }
        if (decoder.hasPartialValue()) {
            close("bytes after a reply");
        } else {
            pool.onIdle(this);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        onConnectionLost();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof DecoderException) {
            pool.onInvalidReply("malformed: " + cause.getMessage());
            end(Outcome.FAILED);
        } else {
            onConnectionLost();
        }
    }

    /**
     * Ends the request when the connection is lost. A command that was not written in full has not
     * been executed.
     */
    private void onConnectionLost() {
        end(commandWritten ? Outcome.RESET : Outcome.NO_CONNECTION);
    }

    private Outcome outcomeOf(Resp reply) {
        if (reply instanceof Resp.Array array
                && array.items() != null
                && array.items().size() == REPLY_ITEM_COUNT
                && array.items().get(0) instanceof Resp.Bulk value
                && !value.isNull()) {
            return Outcome.SERVED;
        }
        if (reply instanceof Resp.Discarded) {
            pool.onInvalidReply("discarded");
            return Outcome.FAILED;
        }
        if (reply instanceof Resp.Line line && line.isError()) {
            return line.text().startsWith("BUSY") ? Outcome.REJECTED : Outcome.FAILED;
        }
        pool.onInvalidReply("unexpected type");
        return Outcome.FAILED;
    }

    // ---- timeouts ----

    /**
     * Restarts the stall timeout at each read of an incomplete reply. A slow reply may still
     * complete; one that pauses for longer than the timeout usually does not.
     */
    private void restartStallTimeout() {
        if (stallTask != null) {
            stallTask.cancel(false);
        }
        stallTask = schedule(this::onStalled, shared.stallTimeoutMillis() * NANOS_PER_MILLI);
    }

    private void onStalled() {
        pool.onInvalidReply("incomplete");
        end(Outcome.FAILED);
    }

    /**
     * Ends the request at its timeout. An endpoint that has started its reply counts as failed, not
     * as unresponsive.
     */
    private void onTimeout() {
        if (decoder.hasPartialValue()) {
            onStalled();
        } else {
            end(commandWritten ? Outcome.TIMED_OUT : Outcome.NO_CONNECTION);
        }
    }

    private ScheduledFuture<?> schedule(Runnable task, double nanos) {
        return shared.loop().schedule(task, (long) nanos, TimeUnit.NANOSECONDS);
    }

    private double now() {
        return shared.clock().getAsDouble();
    }
}
