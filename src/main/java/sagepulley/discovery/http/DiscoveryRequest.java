package sagepulley.discovery.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.json.JsonObjectDecoder;
import io.netty.util.NetUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import sagepulley.logging.LogWriter;
import sagepulley.membership.EndpointPollPolicy;
import sagepulley.transport.KernelReceiveTime;
import sagepulley.transport.Transport;

/**
 * One call to discovery and its answer: lists as JSON values, in any pieces and with any white
 * space between. It tells its owner what came and how it ended, each once, and knows of no other
 * call. All on one loop; times are milliseconds on the monotonic clock.
 */
final class DiscoveryRequest extends SimpleChannelInboundHandler<HttpObject> {
    private static final String PATH = "/v1/endpoints";

    /** A list of 3,200 endpoints, indented, takes a little over 1 MB. */
    private static final int MAX_LIST_BYTES = 8 << 20;

    /**
     * A line on a watch was written at most so long before it came, or as long as the watch's first
     * list took.
     */
    private static final double MAX_DELIVERY_DELAY_MILLIS = 1_000;

    /** A line's end that comes so soon behind a list belongs to that list, and is no empty line. */
    private static final double LIST_TERMINATOR_MILLIS = 500;

    /** What a call is to its owner. */
    enum Role {
        /** It is waited for, or its lists are relied on. */
        CURRENT,
        /** It counts as failed, and is kept open all the same. */
        OVERDUE,
        /** It was the watch at an address that discovery has left. */
        FORMER
    }

    private enum Progress {
        WAITING,
        ANSWERED,
        OVER
    }

    /** How long a first list, and a sign of life on a watch, are waited for. */
    record Timeouts(long firstListMillis, long silenceMillis) {
        static final Timeouts DEFAULT =
                new Timeouts(
                        EndpointPollPolicy.FIRST_LIST_TIMEOUT_MILLIS,
                        EndpointPollPolicy.IDLE_TIMEOUT_MILLIS);
    }

    /** Told what happens to a call. */
    interface Listener {
        /** The connection was refused: no process listens there. */
        void onRefused(DiscoveryRequest request);

        /** A list has come, which was all that discovery had at a time. */
        void onEndpointList(DiscoveryRequest request, EndpointListUpdate listing, double asOf);

        /** An empty line of a watch: nothing had changed at a time. */
        void onHeartbeat(DiscoveryRequest request, double asOf);

        /**
         * The connection ends with no list under way: all that discovery had to tell at a time has
         * come.
         */
        void onCleanClose(DiscoveryRequest request, double asOf);

        /** Nothing came in time; the call goes on. */
        void onOverdue(DiscoveryRequest request, String why);

        /** The call is over without what it was for. */
        void onFailed(DiscoveryRequest request, String why);

        /** The call is over, and was answered in whole. */
        void onCompleted(DiscoveryRequest request);
    }

    private final Transport transport;
    private final EventLoop loop;
    private final Listener listener;
    private final DoubleSupplier clock;
    private final KernelReceiveTime receiveTime;
    private final Timeouts timeouts;
    private final SocketAddress address;
    private final int requestNumber;
    private final boolean isWatch;
    private final long afterRevision;
    private final JsonValueDecoder valueDecoder = new JsonValueDecoder();
    private final double startedAt;
    private double requestedAt = Double.NaN;

    /** How long the first list took. */
    private double firstListMillis;

    /** When the first bytes of the list under way came, and when the last list was whole. */
    private double listStartedAt = Double.NaN;

    private double listEndedAt = Double.NEGATIVE_INFINITY;
    private double lastByteAt = Double.NEGATIVE_INFINITY;
    private Channel channel;
    private ScheduledFuture<?> timeoutTask;
    private long receivedBytes;
    private int receivedLists;
    private boolean informational;
    private Progress progress = Progress.WAITING;
    private Role role = Role.CURRENT;

    /**
     * The first call has number 1; it asks for what changed after a revision if it watches, and
     * else for the whole list.
     */
    DiscoveryRequest(
            Transport transport,
            SocketAddress address,
            int requestNumber,
            boolean isWatch,
            long afterRevision,
            Timeouts timeouts,
            KernelReceiveTime receiveTime,
            DoubleSupplier clock,
            Listener listener) {
        this.transport = transport;
        this.loop = transport.eventLoops().next();
        this.address = address;
        this.requestNumber = requestNumber;
        this.isWatch = isWatch;
        this.afterRevision = afterRevision;
        this.timeouts = timeouts;
        this.receiveTime = receiveTime;
        this.clock = clock;
        this.listener = listener;
        this.startedAt = clock.getAsDouble();
    }

    void open() {
        LogWriter.info(
                "list call begins",
                "call",
                requestNumber,
                "watches",
                isWatch,
                "after",
                afterRevision,
                "address",
                address);
        ChannelFuture connecting =
                transport
                        .connector()
                        .option(
                                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                EndpointPollPolicy.CONNECT_TIMEOUT_MILLIS)
                        .handler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel fresh) {
                                        fresh.pipeline()
                                                .addLast(
                                                        new HttpClientCodec(),
                                                        DiscoveryRequest.this,
                                                        valueDecoder,
                                                        new JsonValueHandler());
                                    }
                                })
                        .connect(address);
        channel = Transport.channelOf(connecting);
        scheduleTimeout(timeouts.firstListMillis());
        Transport.onConnectFailure(
                connecting,
                loop,
                cause -> {
                    if (!isOver() && isRefused(cause)) {
                        listener.onRefused(this);
                    }
                    fail("no connection: " + rootCause(cause).getMessage());
                });
    }

    /** Ends the call, and nobody is told. */
    void close(String why) {
        LogWriter.info(
                "list call ends",
                "call",
                requestNumber,
                "after-ms",
                roundedOpenMillis(),
                "bytes",
                receivedBytes,
                "lists",
                receivedLists,
                "why",
                why);
        progress = Progress.OVER;
        timeoutTask.cancel(false);
        if (channel != null) {
            channel.close();
        }
    }

    double startedAt() {
        return startedAt;
    }

    boolean isWatch() {
        return isWatch;
    }

    /** The revision that was held when this call was opened. */
    long afterRevision() {
        return afterRevision;
    }

    Role role() {
        return role;
    }

    void setRole(Role newRole) {
        role = newRole;
    }

    /** Whether a list has come, and more may. */
    boolean isAnswered() {
        return progress == Progress.ANSWERED;
    }

    /** Whether the list that came last is the only one so far. */
    boolean hasOneList() {
        return receivedLists == 1;
    }

    double openMillis() {
        return clock.getAsDouble() - startedAt;
    }

    /** Since its last byte; infinite where none has come. */
    double idleMillis() {
        return clock.getAsDouble() - lastByteAt;
    }

    private boolean isOver() {
        return progress == Progress.OVER;
    }

    private long roundedOpenMillis() {
        return Math.round(openMillis());
    }

    private static boolean isRefused(Throwable cause) {
        return cause instanceof ConnectException
                && !(cause instanceof ConnectTimeoutException)
                && String.valueOf(cause.getMessage()).contains("refused");
    }

    /** What the system said, below what Netty makes of it. */
    private static Throwable rootCause(Throwable failure) {
        Throwable root = failure;
        while (root.getCause() != null) {
            root = root.getCause();
        }
        return root;
    }

    private void fail(String why) {
        if (!isOver()) {
            String described = describe(why);
            close(why);
            listener.onFailed(this, described);
        }
    }

    private String describe(String why) {
        return isAnswered() ? why : why + ", called for " + roundedOpenMillis() + " ms";
    }

    /**
     * Nothing came in time: that counts as a failure, but the answer is taken if it comes after
     * all.
     */
    private void scheduleTimeout(long timeoutMillis) {
        if (timeoutTask != null) {
            timeoutTask.cancel(false);
        }
        timeoutTask =
                loop.schedule(
                        () ->
                                listener.onOverdue(
                                        this,
                                        describe("nothing came for " + timeoutMillis + " ms")),
                        timeoutMillis,
                        TimeUnit.MILLISECONDS);
    }

    private void connectionEnded(String why) {
        if (isAnswered() && !valueDecoder.isMidValue()) {
            listener.onCleanClose(this, estimateWrittenAt(clock.getAsDouble()));
        }
        fail(why);
    }

    /**
     * A time at which a line had not been written yet whose first bytes came then, as far as that
     * can be told.
     */
    private double estimateWrittenAt(double receivedAt) {
        return receivedAt - Math.min(firstListMillis, MAX_DELIVERY_DELAY_MILLIS);
    }

    // ---- what comes ----

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        requestedAt = clock.getAsDouble();
        String query = isWatch ? "?watch=1&after=" + afterRevision : "";
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, PATH + query);
        request.headers().set(HttpHeaderNames.HOST, hostOf(address));
        ctx.writeAndFlush(request);
    }

    private static String hostOf(SocketAddress address) {
        return address instanceof InetSocketAddress socket
                ? NetUtil.toSocketAddressString(socket)
                : "here";
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        if (isOver()) {
            return;
        }
        if (!message.decoderResult().isSuccess()) {
            fail("an answer that cannot be read");
            return;
        }
        if (message instanceof HttpResponse response) {
            informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            if (!informational && !response.status().equals(HttpResponseStatus.OK)) {
                fail("answered " + response.status().code());
                return;
            }
        }
        if (informational) {
            return;
            // the answer itself is yet to come

        }
        if (message instanceof HttpContent content) {
            onContent(ctx, content.content());
        }
        if (message instanceof LastHttpContent && !isOver()) {
            onBodyEnd();
        }
    }

    private void onContent(ChannelHandlerContext ctx, ByteBuf content) {
        receivedBytes += content.readableBytes();
        lastByteAt = clock.getAsDouble();
        boolean endsLine =
                content.indexOf(content.readerIndex(), content.writerIndex(), (byte) '\n') >= 0;
        double receivedAt =
                lastByteAt
                        - receiveTime.millisSinceReceived(
                                channel, (double) timeouts.silenceMillis());
        if (!valueDecoder.isMidValue()) {
            listStartedAt = receivedAt;
        }
        int listsBefore = receivedLists;
        ctx.fireChannelRead(content.retain());
        if (receivedLists > listsBefore) {
            listStartedAt = receivedAt;
            // of the next one, if it is under way

        }
        // Only a whole list or an empty line is a sign of life: half a list that trickles is

        // silence too.

        if (isAnswered()
                && endsLine
                && !valueDecoder.isMidValue()
                && receivedAt - listEndedAt > LIST_TERMINATOR_MILLIS) {
            restartSilenceTimeout();
            listener.onHeartbeat(this, estimateWrittenAt(receivedAt));
        }
    }

    private void restartSilenceTimeout() {
        if (isWatch && role != Role.FORMER) {
            scheduleTimeout(timeouts.silenceMillis());
        }
    }

    private void onBodyEnd() {
        if (isWatch) {
            fail("the watch ended");
        } else if (!isAnswered() || valueDecoder.isMidValue()) {
            fail("an answer without a whole list");
        } else {
            close("answered");
            listener.onCompleted(this);
        }
    }

    private void onValue(ByteBuf text) {
        EndpointListUpdate update;
        try {
            update = EndpointListUpdate.parse(JsonReader.readObject(ByteBufUtil.getBytes(text)));
        } catch (IOException bad) {
            fail("a list that cannot be read: " + bad.getMessage());
            return;
        }
        receivedLists++;
        listEndedAt = clock.getAsDouble();
        if (!isAnswered()) {
            LogWriter.info(
                    "discovery answers", "call", requestNumber, "after-ms", roundedOpenMillis());
            firstListMillis = listEndedAt - requestedAt;
            progress = Progress.ANSWERED;
        }
        restartSilenceTimeout();
        // The first list is what discovery had at some time after it was asked, however long it was

        // on its way.

        listener.onEndpointList(
                this, update, hasOneList() ? requestedAt : estimateWrittenAt(listStartedAt));
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        connectionEnded("the connection ended");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof IOException) {
            connectionEnded(String.valueOf(cause.getMessage()));
        } else {
            fail(String.valueOf(cause.getMessage()));
        }
    }

    /** Takes each value that is whole. */
    private final class JsonValueHandler extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf value) {
            if (!isOver()) {
                onValue(value);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            fail("a list that cannot be read: " + cause.getMessage());
        }
    }

    /** Cuts the bytes into JSON values. */
    private static final class JsonValueDecoder extends JsonObjectDecoder {
        JsonValueDecoder() {
            super(MAX_LIST_BYTES);
        }

        boolean isMidValue() {
            return actualReadableBytes() > 0;
        }
    }
}
