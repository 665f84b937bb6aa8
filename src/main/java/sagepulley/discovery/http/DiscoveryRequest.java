package sagepulley.discovery.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import sagepulley.logging.LogWriter;
import sagepulley.membership.EndpointPollPolicy;
import sagepulley.transport.KernelReceiveTime;
import sagepulley.transport.MemoryAccount;
import sagepulley.transport.Transport;

/**
 * Handles one HTTP request to discovery and its response: endpoint lists as JSON values in
 * arbitrary chunks and white space.
 *
 * <p>Reports each event once, independently of other requests. Runs on the event loop; times are in
 * milliseconds on the monotonic clock.
 */
final class DiscoveryRequest extends SimpleChannelInboundHandler<HttpObject> {
    /** An indented list of 3,200 endpoints takes about 1 MB. */
    private static final int MAX_LIST_BYTES = 8 << 20;

    /** Role of a request at its listener. */
    enum Role {
        /** Waits for its first list, or supplies the current lists. */
        CURRENT,
        /** Counts as failed, but stays open. */
        OVERDUE,
        /** Watch at an address that discovery has left. */
        FORMER_ADDRESS
    }

    private enum State {
        WAITING,
        ANSWERED,
        CLOSED
    }

    private final Transport transport;
    private final EventLoop loop;
    private final DiscoveryRequestListener listener;
    private final DoubleSupplier clock;
    private final KernelReceiveTime receiveTime;
    private final DiscoveryTimeouts timeouts;
    private final EndpointListQuery query;
    private final int requestNumber;
    private final JsonValueDecoder valueDecoder;
    private final ResponseTiming timing = new ResponseTiming();
    private final double startedAt;
    private Channel channel;
    private ScheduledFuture<?> timeoutTask;
    private long receivedBytes;
    private int receivedLists;

    /** Whether the status received last is informational (1xx), so that a final one follows. */
    private boolean isInformational;

    private State state = State.WAITING;
    private Role role = Role.CURRENT;

    /**
     * @param requestNumber identifies the request in the log
     * @param memory accounts for lists received in part, of all requests
     */
    DiscoveryRequest(
            Transport transport,
            EndpointListQuery query,
            int requestNumber,
            DiscoveryTimeouts timeouts,
            KernelReceiveTime receiveTime,
            DoubleSupplier clock,
            MemoryAccount memory,
            DiscoveryRequestListener listener) {
        this.valueDecoder =
                new JsonValueDecoder((int) Math.min(MAX_LIST_BYTES, memory.limitBytes()), memory);
        this.transport = transport;
        this.loop = transport.eventLoops().next();
        this.query = query;
        this.requestNumber = requestNumber;
        this.timeouts = timeouts;
        this.receiveTime = receiveTime;
        this.clock = clock;
        this.listener = listener;
        this.startedAt = clock.getAsDouble();
    }

    // ---- begin and end ----

    /** Connects and sends the request. */
    void open() {
        LogWriter.info(
                "endpoint list request started",
                "request",
                requestNumber,
                "watch",
                query.isWatch(),
                "after-revision",
                query.afterRevision(),
                "address",
                query.address());
        ChannelFuture connecting =
                transport
                        .connector()
                        .option(
                                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                EndpointPollPolicy.CONNECT_TIMEOUT_MILLIS)
                        .handler(pipeline())
                        .connect(query.address());
        channel = Transport.channelOf(connecting);
        scheduleTimeout(timeouts.firstListTimeoutMillis());
        Transport.onConnectFailure(connecting, loop, this::onConnectFailure);
    }

    private ChannelInitializer<Channel> pipeline() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel newChannel) {
                newChannel
                        .pipeline()
                        .addLast(
                                new HttpClientCodec(),
                                DiscoveryRequest.this,
                                valueDecoder,
                                new JsonValueHandler());
            }
        };
    }

    private void onConnectFailure(Throwable cause) {
        if (!isClosed() && Transport.isRefused(cause)) {
            listener.onRefused(this);
        }
        fail("connect failed: " + Transport.systemMessage(cause));
    }

    /** Closes the request without notifying the listener. */
    void close(String reason) {
        LogWriter.info(
                "endpoint list request ended",
                "request",
                requestNumber,
                "duration-ms",
                roundedOpenMillis(),
                "bytes",
                receivedBytes,
                "lists",
                receivedLists,
                "reason",
                reason);
        state = State.CLOSED;
        timeoutTask.cancel(false);
        valueDecoder.releaseMemory();
        if (channel != null) {
            channel.close();
        }
    }

    private void fail(String reason) {
        if (!isClosed()) {
            String description = describe(reason);
            close(reason);
            listener.onFailed(this, description);
        }
    }

    private String describe(String reason) {
        return isAnswered() ? reason : reason + ", open for " + roundedOpenMillis() + " ms";
    }

    // ---- state ----

    double startedAt() {
        return startedAt;
    }

    boolean isWatch() {
        return query.isWatch();
    }

    /** Returns the revision that was known when the request was opened. */
    long afterRevision() {
        return query.afterRevision();
    }

    Role role() {
        return role;
    }

    void setRole(Role newRole) {
        role = newRole;
    }

    /** Returns whether the request has received a list and is still open. */
    boolean isAnswered() {
        return state == State.ANSWERED;
    }

    /** Returns whether exactly one list has been received. */
    boolean hasOneList() {
        return receivedLists == 1;
    }

    double openMillis() {
        return clock.getAsDouble() - startedAt;
    }

    /** Returns the time since the last byte was received; infinite if there was none. */
    double idleMillis() {
        return timing.idleMillis(clock.getAsDouble());
    }

    private boolean isClosed() {
        return state == State.CLOSED;
    }

    private long roundedOpenMillis() {
        return Math.round(openMillis());
    }

    /**
     * Restarts the timeout after which the request is reported overdue. Data received later is
     * still used.
     */
    private void scheduleTimeout(long timeoutMillis) {
        if (timeoutTask != null) {
            timeoutTask.cancel(false);
        }
        timeoutTask =
                loop.schedule(
                        () ->
                                listener.onOverdue(
                                        this, describe("no data for " + timeoutMillis + " ms")),
                        timeoutMillis,
                        TimeUnit.MILLISECONDS);
    }

    private void restartIdleTimeout() {
        if (query.isWatch() && role != Role.FORMER_ADDRESS) {
            scheduleTimeout(timeouts.idleTimeoutMillis());
        }
    }

    // ---- channel events ----

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        timing.onRequested(clock.getAsDouble());
        ctx.writeAndFlush(query.toHttpRequest());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        if (isClosed()) {
            return;
        }
        if (!message.decoderResult().isSuccess()) {
            fail("malformed HTTP response");
            return;
        }
        if (message instanceof HttpResponse response) {
            isInformational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            if (!isInformational && !response.status().equals(HttpResponseStatus.OK)) {
                fail("HTTP status " + response.status().code());
                return;
            }
        }
        if (isInformational) {
            return; // the final response follows
        }
        if (message instanceof HttpContent content) {
            onContent(ctx, content.content());
        }
        if (message instanceof LastHttpContent && !isClosed()) {
            onBodyEnd();
        }
    }

    private void onContent(ChannelHandlerContext ctx, ByteBuf content) {
        receivedBytes += content.readableBytes();
        double now = clock.getAsDouble();
        timing.onBytes(now);
        boolean hasLineEnd =
                content.indexOf(content.readerIndex(), content.writerIndex(), (byte) '\n') >= 0;
        double receivedAt =
                now
                        - receiveTime.millisSinceReceived(
                                channel, (double) timeouts.idleTimeoutMillis());
        if (!valueDecoder.hasPartialValue()) {
            timing.onListStarted(receivedAt);
        }
        int listsBefore = receivedLists;
        ctx.fireChannelRead(content.retain());
        if (!isClosed()) {
            valueDecoder.updateMemory();
        }
        if (receivedLists > listsBefore) {
            timing.onListStarted(receivedAt); // start of the next list, if any of it has arrived
        }
        // Bytes of an incomplete list do not count as a heartbeat, even if it contains line ends,
        // so a list that arrives too slowly still reaches the idle timeout.
        if (isAnswered()
                && hasLineEnd
                && !valueDecoder.hasPartialValue()
                && timing.isHeartbeat(receivedAt)) {
            restartIdleTimeout();
            listener.onHeartbeat(this, timing.earliestWriteTime(receivedAt));
        }
    }

    private void onBodyEnd() {
        if (query.isWatch()) {
            fail("watch closed by discovery");
        } else if (!isAnswered() || valueDecoder.hasPartialValue()) {
            fail("response without a complete list");
        } else {
            close("completed");
            listener.onCompleted(this);
        }
    }

    private void onValue(ByteBuf text) {
        EndpointListUpdate update;
        try {
            update = EndpointListUpdate.parse(JsonReader.readObject(ByteBufUtil.getBytes(text)));
        } catch (IOException malformed) {
            fail("malformed list: " + malformed.getMessage());
            return;
        }
        receivedLists++;
        timing.onListEnded(clock.getAsDouble());
        if (!isAnswered()) {
            LogWriter.info(
                    "first endpoint list received",
                    "request",
                    requestNumber,
                    "elapsed-ms",
                    roundedOpenMillis());
            timing.onFirstListEnded();
            state = State.ANSWERED;
        }
        restartIdleTimeout();
        listener.onEndpointList(this, update, timing.listCurrentAsOf(hasOneList()));
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        onConnectionLost("connection closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof IOException) {
            onConnectionLost(String.valueOf(cause.getMessage()));
        } else {
            fail(String.valueOf(cause.getMessage()));
        }
    }

    private void onConnectionLost(String reason) {
        if (isAnswered() && !valueDecoder.hasPartialValue()) {
            listener.onCleanClose(this, timing.earliestWriteTime(clock.getAsDouble()));
        }
        fail(reason);
    }

    /** Handles each complete JSON value of the response. */
    private final class JsonValueHandler extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf value) {
            if (!isClosed()) {
                onValue(value);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            fail("malformed list: " + cause.getMessage());
        }
    }
}
