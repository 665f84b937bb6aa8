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
 * Opens frame connections to one address on one event loop.
 *
 * @param loop the event loop of the connections
 * @param channelType the class of the socket channel
 * @param address the remote address
 * @param connectTimeoutMillis the time after which a connection attempt fails
 * @param maxPayloadBytes the maximum payload length that is accepted
 */
public record FrameConnector(
        EventLoop loop,
        Class<? extends Channel> channelType,
        SocketAddress address,
        int connectTimeoutMillis,
        int maxPayloadBytes) {
    /**
     * Starts to connect. The handler receives the frames and the channel events of the connection.
     */
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
