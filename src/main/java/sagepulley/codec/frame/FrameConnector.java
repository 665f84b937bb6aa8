package sagepulley.codec.frame;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.net.SocketAddress;

/**
 * Opens connections that carry frames, each to one address on one event loop.
 *
 * @param loop owns the connections
 * @param channelType the socket channel's class
 * @param address where to connect to
 * @param connectTimeoutMillis when an attempt to connect fails
 * @param maxPayloadBytes the longest payload that is accepted
 */
public record FrameConnector(
        EventLoop loop,
        Class<? extends Channel> channelType,
        SocketAddress address,
        int connectTimeoutMillis,
        int maxPayloadBytes) {
    /** Begins to connect; the handler receives the connection's frames and its end. */
    public ChannelFuture connect(ChannelHandler handler) {
        return new Bootstrap()
                .group(loop)
                .channel(channelType)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
                .handler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                channel.pipeline()
                                        .addLast(
                                                new FrameDecoder(maxPayloadBytes),
                                                new FrameEncoder(),
                                                handler);
                            }
                        })
                .connect(address);
    }
}
