package sagepulley.platform;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
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
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.NetUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/**
 * The calls to discovery: one watch, and now and then the whole list. It asks nothing again by itself; each
 * call or watch that fails is told once. All on one loop.
 */
final class DiscoveryLink {
    private static final String PATH = "/v1/endpoints";
    private static final int CONNECT_MS = 1_000;
    /** A watch that says nothing so long is gone: an empty line is due every 2 s. */
    private static final long SILENCE_MS = 3_500;
    private static final int LONGEST_LINE = 1 << 20;

    /** Told what discovery says, on the loop. */
    interface Owner {
        void listed(Listing listing);

        /** A call failed, or the watch has ended. */
        void listFailed(String why);
    }

    private final Transport transport;
    private final EventLoop loop;
    private final Owner owner;
    private SocketAddress address;
    private long revision;
    private Call watch;
    private Call fetch;

    DiscoveryLink(Transport transport, SocketAddress address, long revision, Owner owner) {
        this.transport = transport;
        this.loop = transport.loops().next();
        this.address = address;
        this.revision = revision;
        this.owner = owner;
    }

    long revision() {
        return revision;
    }

    boolean isWatching() {
        return watch != null && watch.answered;
    }

    /** Opens a watch in place of one that stands. */
    void subscribe() {
        if (watch != null) {
            watch.drop();
        }
        watch = new Call(true);
        watch.open();
    }

    void fetch() {
        if (fetch != null) {
            fetch.drop();
        }
        fetch = new Call(false);
        fetch.open();
    }

    /** Discovery has another address from now on: whatever was asked of the old one is asked there. */
    void moveTo(SocketAddress fresh) {
        if (fresh.equals(address)) {
            return;
        }
        address = fresh;
        if (watch != null) {
            subscribe();
        }
        if (fetch != null) {
            fetch();
        }
    }

    void close() {
        if (watch != null) {
            watch.drop();
            watch = null;
        }
        if (fetch != null) {
            fetch.drop();
            fetch = null;
        }
    }

    private static String hostOf(SocketAddress address) {
        return address instanceof InetSocketAddress socket ? NetUtil.toSocketAddressString(socket) : "here";
    }

    /** One request and its answer, a list a line. */
    private final class Call extends SimpleChannelInboundHandler<HttpObject> {
        private final boolean watches;
        private final ByteArrayOutputStream line = new ByteArrayOutputStream();
        private Channel channel;
        private ScheduledFuture<?> silence;
        private boolean over;
        private boolean answered;

        Call(boolean watches) {
            this.watches = watches;
        }

        void open() {
            ChannelFuture connecting = transport.connector()
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel fresh) {
                            fresh.pipeline().addLast(new HttpClientCodec(), Call.this);
                        }
                    }).connect(address);
            channel = connecting.channel();
            heard();
            connecting.addListener(done -> {
                if (!done.isSuccess()) {
                    fail("no connection: " + done.cause().getMessage());
                }
            });
        }

        /** Ends the call, and nobody is told. */
        void drop() {
            over = true;
            silence.cancel(false);
            channel.close();
        }

        private void fail(String why) {
            if (over) {
                return;
            }
            drop();
            leave();
            owner.listFailed(why);
        }

        private void leave() {
            if (watch == this) {
                watch = null;
            }
            if (fetch == this) {
                fetch = null;
            }
        }

        private void heard() {
            if (silence != null) {
                silence.cancel(false);
            }
            silence = loop.schedule(() -> fail("nothing came for " + SILENCE_MS + " ms"), SILENCE_MS,
                    TimeUnit.MILLISECONDS);
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            String query = watches ? "?watch=1&after=" + revision : "";
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
            heard();
            if (!message.decoderResult().isSuccess()) {
                fail("an answer that cannot be read");
                return;
            }
            if (message instanceof HttpResponse response && !response.status().equals(HttpResponseStatus.OK)) {
                fail("answered " + response.status().code());
                return;
            }
            if (message instanceof HttpContent content) {
                lines(content.content());
            }
            if (message instanceof LastHttpContent && !over) {
                if (line.size() > 0) {
                    told();
                }
                if (watches) {
                    fail("the watch ended");
                } else if (!over) {
                    drop();
                    leave();
                }
            }
        }

        private void lines(ByteBuf bytes) {
            while (bytes.isReadable() && !over) {
                byte next = bytes.readByte();
                if (watches && next == '\n') {
                    told();
                } else {
                    line.write(next);
                }
                if (line.size() > LONGEST_LINE) {
                    fail("a line of over " + LONGEST_LINE + " bytes");
                }
            }
        }

        private void told() {
            byte[] text = line.toByteArray();
            line.reset();
            if (new String(text, StandardCharsets.ISO_8859_1).isBlank()) {
                return;
            }
            Listing listing;
            try {
                listing = Listing.read(Json.object(text));
            } catch (IOException bad) {
                fail("a list that cannot be read: " + bad.getMessage());
                return;
            }
            answered = true;
            revision = listing.revision();
            owner.listed(listing);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            fail("the connection ended");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            fail(String.valueOf(cause.getMessage()));
        }
    }
}
