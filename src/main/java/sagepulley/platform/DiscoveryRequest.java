package sagepulley.platform;

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
import sagepulley.membership.EndpointPollPolicy;

/**
 * One call to discovery and its answer: lists as JSON values, in any pieces and with any white
 * space between. It tells its owner what came and how it ended, each once, and knows of no other
 * call. All on one loop; times are milliseconds on the monotonic clock.
 */
final class DiscoveryRequest extends SimpleChannelInboundHandler<HttpObject> {
    private static final String PATH = "/v1/endpoints";

    /** A list of 3,200 endpoints, indented, takes a little over 1 MB. */
    private static final int LONGEST_LIST = 8 << 20;

    /**
     * A line on a watch was written at most so long before it came, or as long as the watch's first
     * list took.
     */
    private static final double LONGEST_LINE_DELAY = 1_000;

    /** A line's end that comes so soon behind a list belongs to that list, and is no empty line. */
    private static final double LIST_END = 500;

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
    record Patience(long firstListMs, long silenceMs) {
        static final Patience USUAL =
                new Patience(
                        EndpointPollPolicy.FIRST_LIST_TIMEOUT_MILLIS,
                        EndpointPollPolicy.IDLE_TIMEOUT_MILLIS);
    }

    /** Told what happens to a call. */
    interface Owner {
        /** The connection was refused: no process listens there. */
        void refused(DiscoveryRequest call);

        /** A list has come, which was all that discovery had at a time. */
        void listed(DiscoveryRequest call, EndpointListUpdate listing, double asOf);

        /** An empty line of a watch: nothing had changed at a time. */
        void livesOn(DiscoveryRequest call, double asOf);

        /**
         * The connection ends with no list under way: all that discovery had to tell at a time has
         * come.
         */
        void endsAtRest(DiscoveryRequest call, double asOf);

        /** Nothing came in time; the call goes on. */
        void overdue(DiscoveryRequest call, String why);

        /** The call is over without what it was for. */
        void failed(DiscoveryRequest call, String why);

        /** The call is over, and was answered in whole. */
        void answered(DiscoveryRequest call);
    }

    private final Transport transport;
    private final EventLoop loop;
    private final Owner owner;
    private final DoubleSupplier clock;
    private final KernelReceiveTime arrival;
    private final Patience patience;
    private final SocketAddress address;
    private final int number;
    private final boolean watches;
    private final long after;
    private final Values values = new Values();
    private final double beganAt;
    private double requestedAt = Double.NaN;

    /** How long the first list took. */
    private double firstListTook;

    /** When the first bytes of the list under way came, and when the last list was whole. */
    private double listBeganAt = Double.NaN;

    private double listEndedAt = Double.NEGATIVE_INFINITY;
    private double lastByteAt = Double.NEGATIVE_INFINITY;
    private Channel channel;
    private ScheduledFuture<?> silence;
    private long bytes;
    private int lists;
    private boolean announces;
    private Progress progress = Progress.WAITING;
    private Role role = Role.CURRENT;

    /**
     * The first call has number 1; it asks for what changed after a revision if it watches, and
     * else for the whole list.
     */
    DiscoveryRequest(
            Transport transport,
            SocketAddress address,
            int number,
            boolean watches,
            long after,
            Patience patience,
            KernelReceiveTime arrival,
            DoubleSupplier clock,
            Owner owner) {
        this.transport = transport;
        this.loop = transport.loops().next();
        this.address = address;
        this.number = number;
        this.watches = watches;
        this.after = after;
        this.patience = patience;
        this.arrival = arrival;
        this.clock = clock;
        this.owner = owner;
        this.beganAt = clock.getAsDouble();
    }

    void open() {
        LogWriter.info(
                "list call begins",
                "call",
                number,
                "watches",
                watches,
                "after",
                after,
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
                                                        values,
                                                        new Reader());
                                    }
                                })
                        .connect(address);
        channel = Transport.channelOf(connecting);
        overdueIn(patience.firstListMs());
        Transport.whenFailed(
                connecting,
                loop,
                cause -> {
                    if (!isOver() && isRefused(cause)) {
                        owner.refused(this);
                    }
                    fail("no connection: " + rootOf(cause).getMessage());
                });
    }

    /** Ends the call, and nobody is told. */
    void drop(String why) {
        LogWriter.info(
                "list call ends",
                "call",
                number,
                "after-ms",
                openMs(),
                "bytes",
                bytes,
                "lists",
                lists,
                "why",
                why);
        progress = Progress.OVER;
        silence.cancel(false);
        if (channel != null) {
            channel.close();
        }
    }

    double beganAt() {
        return beganAt;
    }

    boolean watches() {
        return watches;
    }

    /** The revision that was held when this call was opened. */
    long after() {
        return after;
    }

    Role role() {
        return role;
    }

    void become(Role fresh) {
        role = fresh;
    }

    /** Whether a list has come, and more may. */
    boolean isAnswered() {
        return progress == Progress.ANSWERED;
    }

    /** Whether the list that came last is the only one so far. */
    boolean hasOneList() {
        return lists == 1;
    }

    double openFor() {
        return clock.getAsDouble() - beganAt;
    }

    /** Since its last byte; infinite where none has come. */
    double quietFor() {
        return clock.getAsDouble() - lastByteAt;
    }

    private boolean isOver() {
        return progress == Progress.OVER;
    }

    private long openMs() {
        return Math.round(openFor());
    }

    private static boolean isRefused(Throwable cause) {
        return cause instanceof ConnectException
                && !(cause instanceof ConnectTimeoutException)
                && String.valueOf(cause.getMessage()).contains("refused");
    }

    /** What the system said, below what Netty makes of it. */
    private static Throwable rootOf(Throwable failure) {
        Throwable root = failure;
        while (root.getCause() != null) {
            root = root.getCause();
        }
        return root;
    }

    private void fail(String why) {
        if (!isOver()) {
            String described = described(why);
            drop(why);
            owner.failed(this, described);
        }
    }

    private String described(String why) {
        return isAnswered() ? why : why + ", called for " + openMs() + " ms";
    }

    /**
     * Nothing came in time: that counts as a failure, but the answer is taken if it comes after
     * all.
     */
    private void overdueIn(long most) {
        if (silence != null) {
            silence.cancel(false);
        }
        silence =
                loop.schedule(
                        () -> owner.overdue(this, described("nothing came for " + most + " ms")),
                        most,
                        TimeUnit.MILLISECONDS);
    }

    private void connectionEnded(String why) {
        if (isAnswered() && !values.inMiddle()) {
            owner.endsAtRest(this, writtenAt(clock.getAsDouble()));
        }
        fail(why);
    }

    /**
     * A time at which a line had not been written yet whose first bytes came then, as far as that
     * can be told.
     */
    private double writtenAt(double cameAt) {
        return cameAt - Math.min(firstListTook, LONGEST_LINE_DELAY);
    }

    // ---- what comes ----

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        requestedAt = clock.getAsDouble();
        String query = watches ? "?watch=1&after=" + after : "";
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
            announces = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            if (!announces && !response.status().equals(HttpResponseStatus.OK)) {
                fail("answered " + response.status().code());
                return;
            }
        }
        if (announces) {
            return; // the answer itself is yet to come
        }
        if (message instanceof HttpContent content) {
            contentCame(ctx, content.content());
        }
        if (message instanceof LastHttpContent && !isOver()) {
            bodyEnded();
        }
    }

    private void contentCame(ChannelHandlerContext ctx, ByteBuf content) {
        bytes += content.readableBytes();
        lastByteAt = clock.getAsDouble();
        boolean endsLine =
                content.indexOf(content.readerIndex(), content.writerIndex(), (byte) '\n') >= 0;
        double cameAt = lastByteAt - arrival.ago(channel, (double) patience.silenceMs());
        if (!values.inMiddle()) {
            listBeganAt = cameAt;
        }
        int listsBefore = lists;
        ctx.fireChannelRead(content.retain());
        if (lists > listsBefore) {
            listBeganAt = cameAt; // of the next one, if it is under way
        }
        // Only a whole list or an empty line is a sign of life: half a list that trickles is
        // silence too.
        if (isAnswered() && endsLine && !values.inMiddle() && cameAt - listEndedAt > LIST_END) {
            signOfLife();
            owner.livesOn(this, writtenAt(cameAt));
        }
    }

    private void signOfLife() {
        if (watches && role != Role.FORMER) {
            overdueIn(patience.silenceMs());
        }
    }

    private void bodyEnded() {
        if (watches) {
            fail("the watch ended");
        } else if (!isAnswered() || values.inMiddle()) {
            fail("an answer without a whole list");
        } else {
            drop("answered");
            owner.answered(this);
        }
    }

    private void valueCame(ByteBuf text) {
        EndpointListUpdate listing;
        try {
            listing = EndpointListUpdate.read(JsonReader.object(ByteBufUtil.getBytes(text)));
        } catch (IOException bad) {
            fail("a list that cannot be read: " + bad.getMessage());
            return;
        }
        lists++;
        listEndedAt = clock.getAsDouble();
        if (!isAnswered()) {
            LogWriter.info("discovery answers", "call", number, "after-ms", openMs());
            firstListTook = listEndedAt - requestedAt;
            progress = Progress.ANSWERED;
        }
        signOfLife();
        // The first list is what discovery had at some time after it was asked, however long it was
        // on its way.
        owner.listed(this, listing, hasOneList() ? requestedAt : writtenAt(listBeganAt));
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
    private final class Reader extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf value) {
            if (!isOver()) {
                valueCame(value);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            fail("a list that cannot be read: " + cause.getMessage());
        }
    }

    /** Cuts the bytes into JSON values. */
    private static final class Values extends JsonObjectDecoder {
        Values() {
            super(LONGEST_LIST);
        }

        boolean inMiddle() {
            return actualReadableBytes() > 0;
        }
    }
}
