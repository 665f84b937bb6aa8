package sagepulley.standin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import sagepulley.codec.frame.EventLoops;
import sagepulley.codec.frame.FrameDecoder;
import sagepulley.codec.frame.FrameEncoder;

/**
 * Accepts connections that carry frames, for the stand-in node and the stand-in directory.
 *
 * <p>A bind is retried for a while: a child process that is just being started keeps a copy of this
 * process's listening sockets until it executes its program, and a former listener's port is in use
 * until then.
 */
final class FrameServer {
    private static final int MAX_BIND_RETRIES = 100;
    private static final long BIND_RETRY_MILLIS = 10;

    private final EventLoop loop;
    private final int maxPayloadBytes;
    private final Function<Channel, Optional<ChannelHandler>> sessions;
    private Channel listener;
    private volatile InetSocketAddress address;

    /**
     * Creates a server on one event loop.
     *
     * @param maxPayloadBytes the largest frame payload that it accepts
     * @param sessions creates the handler of a new connection; an empty result closes the
     *     connection
     */
    FrameServer(
            EventLoop loop,
            int maxPayloadBytes,
            Function<Channel, Optional<ChannelHandler>> sessions) {
        this.loop = loop;
        this.maxPayloadBytes = maxPayloadBytes;
        this.sessions = sessions;
    }

    /** Returns the address it listens on or last listened on; null before the first start. */
    InetSocketAddress address() {
        return address;
    }

    /**
     * Listens at an address (port 0 picks a free port); the future completes on the loop. It fails
     * with the cause of the last attempt to bind.
     */
    CompletableFuture<InetSocketAddress> listen(InetSocketAddress at) {
        CompletableFuture<InetSocketAddress> ready = new CompletableFuture<>();
        bind(at, ready, MAX_BIND_RETRIES);
        return ready;
    }

    private void bind(
            InetSocketAddress at,
            CompletableFuture<InetSocketAddress> ready,
            int remainingRetries) {
        new ServerBootstrap()
                .group(loop)
                .channel(EventLoops.server())
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new SessionInitializer())
                .bind(at)
                .addListener(
                        (ChannelFuture bound) -> {
                            if (bound.isSuccess()) {
                                listener = bound.channel();
                                address = (InetSocketAddress) listener.localAddress();
                                ready.complete(address);
                            } else if (remainingRetries > 0) {
                                loop.schedule(
                                        () -> bind(at, ready, remainingRetries - 1),
                                        BIND_RETRY_MILLIS,
                                        TimeUnit.MILLISECONDS);
                            } else {
                                ready.completeExceptionally(bound.cause());
                            }
                        });
    }

    /** Stops accepting connections; open ones stay open. Called on the loop. */
    void close() {
        if (listener != null) {
            listener.close();
            listener = null;
        }
    }

    private final class SessionInitializer extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel channel) {
            Optional<ChannelHandler> session = sessions.apply(channel);
            if (session.isEmpty()) {
                channel.close();
                return;
            }
            channel.pipeline()
                    .addLast(new FrameDecoder(maxPayloadBytes), new FrameEncoder(), session.get());
        }
    }
}
