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
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

/**
 * The calls to discovery: one watch, and now and then the whole list. It asks nothing again by itself; each
 * call or watch that fails is told once. A call that is overdue counts as failed, but is kept open beside the next one:
 * discovery may be slow, and what it still answers is taken. All on one loop.
 */
final class DiscoveryLink {
    private static final String PATH = "/v1/endpoints";
    private static final int CONNECT_MS = 1_000;
    /**
     * An empty line is due every 2 s, so that a watch that brings none for this long is overdue, and so is a call whose
     * first list does not come. Both together leave time for one more call before the lease of the list ends.
     */
    private static final long SILENCE_MS = 2_500;
    private static final long ANSWER_MS = 2_200;
    /** A list of 3,200 endpoints, indented, takes a little over 1 MB. */
    private static final int LONGEST_LIST = 8 << 20;
    /** Overdue calls that are kept open. */
    private static final int MOST_OVERDUE = 1;
    /** One gives way to a later one that has brought nothing for so long, or not a byte for so much longer. */
    private static final double STALLED_MS = 2_500;
    private static final double UNANSWERED_MS = 12_000;
    /** A line on a watch was written at most so long before it came, or as long as the watch's first list took. */
    private static final double LONGEST_LINE_DELAY_MS = 1_000;
    /** A line's end that comes so soon behind a list belongs to that list, and is no empty line. */
    private static final double LIST_END_MS = 500;

    /** Told what discovery says, on the loop. */
    interface Owner {
        void listed(Listing listing);

        /** What has been listed by now was all that discovery had at this time. */
        void listConfirmed(double asOf);

        /** A call that began at this time was refused: no process listens where discovery should be. */
        void discoveryUnreachable(double at);

        /** A call failed or is overdue, or the watch has ended. */
        void listFailed(String why);
    }

    private final Transport transport;
    private final EventLoop loop;
    private final Owner owner;
    private final DoubleSupplier clock;
    private final Arrival arrival = new Arrival();
    private final long answerMs;
    private final long silenceMs;
    private SocketAddress address;
    private long revision;
    private Call watch;
    private Call fetch;
    /** Calls that are overdue and kept open, the oldest first. */
    private final Deque<Call> overdue = new ArrayDeque<>();
    private int calls;

    DiscoveryLink(Transport transport, SocketAddress address, long revision, Owner owner, DoubleSupplier clock) {
        this(transport, address, revision, owner, clock, ANSWER_MS, SILENCE_MS);
    }

    /** The same with other times for a first list and for a watch that says nothing. */
    DiscoveryLink(Transport transport, SocketAddress address, long revision, Owner owner, DoubleSupplier clock,
                  long answerMs, long silenceMs) {
        this.clock = clock;
        this.answerMs = answerMs;
        this.silenceMs = silenceMs;
        this.transport = transport;
        this.loop = transport.loops().next();
        this.address = address;
        this.revision = revision;
        this.owner = owner;
    }

    long revision() {
        return revision;
    }

    SocketAddress address() {
        return address;
    }

    boolean isWatching() {
        return watch != null && watch.answered;
    }

    /** Opens a watch in place of one that stands; that one goes on until one of the two has told a list. */
    void subscribe() {
        if (watch != null) {
            keepOverdue(watch);
        }
        watch = new Call(true);
        watch.open();
    }

    /** Keeps an overdue call open. The oldest stays, for it is the first in discovery's queue, unless it has stalled. */
    private void keepOverdue(Call call) {
        call.isOverdue = true;
        overdue.add(call);
        if (overdue.size() > MOST_OVERDUE) {
            Call oldest = overdue.peekFirst();
            Call dropped = oldest.isFormer || oldest.hasStalled() ? oldest : overdue.peekLast();
            overdue.remove(dropped);
            dropped.drop("overdue");
        }
    }

    /** A call has told a list, or lives on: it is the watch, and all others are needless. */
    private void relyOn(Call call) {
        if (watch != null && watch != call) {
            watch.drop("another call was answered");
        }
        overdue.remove(call);
        overdue.forEach(each -> each.drop("another call was answered"));
        overdue.clear();
        call.isOverdue = false;
        watch = call;
    }

    void fetch() {
        if (fetch != null) {
            fetch.drop("replaced");
        }
        fetch = new Call(false);
        fetch.open();
    }

    /**
     * Discovery has another address from now on. What the old one still tells on its watch counts as told and is taken,
     * until the new one has told a list; it confirms nothing any more, and its end is no failure. Whether it moved.
     */
    boolean moveTo(SocketAddress fresh) {
        if (fresh.equals(address)) {
            return false;
        }
        address = fresh;
        Call former = takeAnswered();
        close();
        if (former != null) {
            former.isOverdue = true;
            former.isFormer = true;
            overdue.add(former);
        }
        return true;
    }

    /** The watch that last told something, taken out of the others; null if none has. */
    private Call takeAnswered() {
        if (watch != null && watch.answered) {
            Call taken = watch;
            watch = null;
            return taken;
        }
        Call taken = overdue.stream().filter(call -> call.answered).findFirst().orElse(null);
        overdue.remove(taken);
        return taken;
    }

    void close() {
        overdue.forEach(call -> call.drop("closed"));
        overdue.clear();
        if (watch != null) {
            watch.drop("closed");
            watch = null;
        }
        if (fetch != null) {
            fetch.drop("closed");
            fetch = null;
        }
    }

    private static boolean isRefused(Throwable cause) {
        return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException)
                && String.valueOf(cause.getMessage()).contains("refused");
    }

    private static String hostOf(SocketAddress address) {
        return address instanceof InetSocketAddress socket ? NetUtil.toSocketAddressString(socket) : "here";
    }

    /** One request and its answer: lists as JSON values, in any pieces and with any white space between. */
    private final class Call extends SimpleChannelInboundHandler<HttpObject> {
        private final boolean watches;
        private final Values values = new Values();
        /** The revision that was held when this call was opened. */
        private final long after = revision;
        private final long openedAt = System.nanoTime();
        /** By the clock: when it was opened, when its request was written, and how long its first list took. */
        private final double beganAt = clock.getAsDouble();
        private double requestedAt = Double.NaN;
        private double firstListTook;
        /** By the clock: when the first bytes of the list under way came, and when the last list was whole. */
        private double listBeganAt = Double.NaN;
        private double listEndedAt = Double.NEGATIVE_INFINITY;
        private double lastByteAt;
        private final int number = ++calls;
        private Channel channel;
        private ScheduledFuture<?> silence;
        private long bytes;
        private int lists;
        private boolean over;
        private boolean answered;
        private boolean announces;
        /** It counts as failed, and is kept open all the same. */
        private boolean isOverdue;
        /** It was the watch at an address that discovery has left. */
        private boolean isFormer;

        Call(boolean watches) {
            this.watches = watches;
        }

        void open() {
            Log.info("list call begins", "call", number, "watches", watches, "after", after, "address", address);
            ChannelFuture connecting = transport.connector()
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel fresh) {
                            fresh.pipeline().addLast(new HttpClientCodec(), Call.this, values, new Reader());
                        }
                    }).connect(address);
            channel = Transport.channelOf(connecting);
            failIn(answerMs);
            Transport.whenFailed(connecting, loop, cause -> {
                if (!over && isRefused(cause)) {
                    owner.discoveryUnreachable(beganAt);
                }
                fail("no connection: " + cause.getMessage());
            });
        }

        /** Ends the call, and nobody is told. */
        void drop(String why) {
            Log.info("list call ends", "call", number, "after-ms", openMs(), "bytes", bytes, "lists", lists, "why",
                    why);
            over = true;
            silence.cancel(false);
            if (channel != null) {
                channel.close();
            }
        }

        private void fail(String why) {
            if (over) {
                return;
            }
            drop(why);
            leave();
            if (!isOverdue) {
                tellFailure(why);
            }
        }

        /**
         * The connection ended. A watch that was alive and had no list under way has told all that discovery had, up to its
         * end: discovery ends its watches when it goes down, and it may be down for long.
         */
        private void connectionEnded(String why) {
            if (!over && this == watch && answered && !values.inMiddle()) {
                owner.listConfirmed(writtenAt(clock.getAsDouble()));
            }
            fail(why);
        }

        /** Nothing came in time: that counts as a failure, but the answer is taken if it comes after all. */
        private void beOverdue(String why) {
            if (isOverdue) {
                return;
            }
            leave();
            keepOverdue(this);
            tellFailure(why);
        }

        private void tellFailure(String why) {
            owner.listFailed(why + (answered ? "" : ", called for " + openMs() + " ms"));
        }

        /** Whether it goes on no more, or has waited for its answer for very long. */
        private boolean hasStalled() {
            return bytes > 0 ? clock.getAsDouble() - lastByteAt > STALLED_MS : openMs() > UNANSWERED_MS;
        }

        private long openMs() {
            return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - openedAt);
        }

        private void leave() {
            if (watch == this) {
                watch = null;
            }
            if (fetch == this) {
                fetch = null;
            }
            overdue.remove(this);
        }

        private void failIn(long most) {
            if (silence != null) {
                silence.cancel(false);
            }
            silence = loop.schedule(() -> beOverdue("nothing came for " + most + " ms"), most,
                    TimeUnit.MILLISECONDS);
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            requestedAt = clock.getAsDouble();
            String query = watches ? "?watch=1&after=" + after : "";
            FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                    PATH + query);
            request.headers().set(HttpHeaderNames.HOST, hostOf(address));
            ctx.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (over) {
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
                bytes += content.content().readableBytes();
                lastByteAt = clock.getAsDouble();
                boolean endsLine = content.content().indexOf(content.content().readerIndex(),
                        content.content().writerIndex(), (byte) '\n') >= 0;
                double cameAt = clock.getAsDouble() - arrival.ago(channel, silenceMs);
                if (!values.inMiddle()) {
                    listBeganAt = cameAt;
                }
                int listsBefore = lists;
                ctx.fireChannelRead(content.content().retain());
                if (lists > listsBefore) {
                    listBeganAt = cameAt; // of the next one, if it is under way
                }
                // Only a whole list or an empty line is a sign of life: half a list that trickles is silence too.
                if (!over && answered && endsLine && !values.inMiddle() && cameAt - listEndedAt > LIST_END_MS) {
                    livesOn(cameAt);
                }
            }
            if (message instanceof LastHttpContent && !over) {
                if (watches || !answered || values.inMiddle()) {
                    fail(watches ? "the watch ended" : "an answer without a whole list");
                } else {
                    leave();
                    drop("answered");
                }
            }
        }

        /** An empty line: all that discovery had to tell when it wrote it has come. */
        private void livesOn(double cameAt) {
            if (isFormer) {
                return;
            }
            if (watches) {
                relyOn(this);
                failIn(silenceMs);
            }
            owner.listConfirmed(writtenAt(cameAt));
        }

        /** A time at which a line had not been written yet whose first bytes came then, as far as that can be told. */
        private double writtenAt(double cameAt) {
            return cameAt - Math.min(firstListTook, LONGEST_LINE_DELAY_MS);
        }

        private void told(ByteBuf text) {
            Listing listing;
            try {
                listing = Listing.read(Json.object(ByteBufUtil.getBytes(text)));
            } catch (IOException bad) {
                fail("a list that cannot be read: " + bad.getMessage());
                return;
            }
            boolean first = !answered;
            if (first) {
                Log.info("discovery answers", "call", number, "after-ms", openMs());
                firstListTook = clock.getAsDouble() - requestedAt;
            }
            answered = true;
            lists++;
            listEndedAt = clock.getAsDouble();
            if (watches && !isFormer) {
                relyOn(this);
                failIn(silenceMs);
            }
            // Lower numbers come from a discovery that started anew, which a new call's first list tells; or from
            // an answer that something newer has overtaken.
            if (listing.revision() < revision && !(first && after == revision)) {
                return;
            }
            revision = listing.revision();
            owner.listed(listing);
            if (isFormer) {
                return;
            }
            // The first list is what discovery had at some time after it was asked, however long it was on its way.
            owner.listConfirmed(first ? requestedAt : writtenAt(listBeganAt));
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
                if (!over) {
                    told(value);
                }
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                fail("a list that cannot be read: " + cause.getMessage());
            }
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
