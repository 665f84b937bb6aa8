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
import java.util.function.Function;
import sagepulley.codec.frame.EventLoops;
import sagepulley.codec.frame.FrameDecoder;
import sagepulley.codec.frame.FrameEncoder;

/** A listening socket whose connections speak frames; the stand-ins' common server side. */
final class FrameServer {
    private final EventLoop loop;
    private final int maxPayloadBytes;
    private final Function<Channel, Optional<ChannelHandler>> sessions;
    private Channel listener;
    private volatile InetSocketAddress address;

    /**
     * A server on one loop.
     *
     * @param maxPayloadBytes the longest payload of a frame that it reads
     * @param sessions makes the handler of a new connection; one that gets none is closed at once
     */
    FrameServer(
            EventLoop loop,
            int maxPayloadBytes,
            Function<Channel, Optional<ChannelHandler>> sessions) {
        this.loop = loop;
        this.maxPayloadBytes = maxPayloadBytes;
        this.sessions = sessions;
    }

    /** Where it listens, or listened last; null before its first start. */
    InetSocketAddress address() {
        return address;
    }

    /** Listens at an address (port 0: a free one); completes on the loop. */
    CompletableFuture<InetSocketAddress> listen(InetSocketAddress at) {
        CompletableFuture<InetSocketAddress> ready = new CompletableFuture<>();
        new ServerBootstrap()
                .group(loop)
                .channel(EventLoops.server())
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new SessionInitializer())
                .bind(at)
                .addListener(
                        (ChannelFuture bound) -> {
                            if (!bound.isSuccess()) {
                                ready.completeExceptionally(bound.cause());
                                return;
                            }
                            listener = bound.channel();
                            address = (InetSocketAddress) listener.localAddress();
                            ready.complete(address);
                        });
        return ready;
    }

    /** Accepts no more connections; those it has stay open. Called on the loop. */
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
