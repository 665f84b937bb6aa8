package sagepulley.standin;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import sagepulley.codec.frame.EventLoops;
import sagepulley.codec.frame.FrameDecoder;
import sagepulley.codec.frame.FrameEncoder;
import sagepulley.discovery.directory.DirectoryMessages;

/**
 * Keeps a stand-in node registered at a directory: connects, sends the endpoint line, and
 * reconnects when the connection ends. State is confined to the given event loop.
 */
public final class DirectoryRegistration implements AutoCloseable {
    private static final long RECONNECT_DELAY_MILLIS = 500;

    private final EventLoop loop;
    private final InetSocketAddress directory;
    private final Supplier<DirectoryMessages.EndpointLine> line;
    private Channel channel;
    private volatile boolean closed;

    /** Starts to register at a directory; the line is read again for each registration. */
    public DirectoryRegistration(
            EventLoop loop,
            InetSocketAddress directory,
            Supplier<DirectoryMessages.EndpointLine> line) {
        this.loop = loop;
        this.directory = directory;
        this.line = line;
        loop.execute(this::connect);
    }

    /** Ends the registration; the directory then lists the node as gone. */
    @Override
    public void close() {
        closed = true;
        loop.execute(
                () -> {
                    if (channel != null) {
                        channel.close();
                    }
                });
    }

    private void connect() {
        if (closed) {
            return;
        }
        new Bootstrap()
                .group(loop)
                .channel(EventLoops.socket())
                .handler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel connection) {
                                connection
                                        .pipeline()
                                        .addLast(
                                                new FrameDecoder(0),
                                                new FrameEncoder(),
                                                new RegistrationHandler());
                            }
                        })
                .connect(directory)
                .addListener(
                        (ChannelFuture done) -> {
                            channel = done.channel();
                            if (!done.isSuccess()) {
                                loop.schedule(
                                        this::connect,
                                        RECONNECT_DELAY_MILLIS,
                                        TimeUnit.MILLISECONDS);
                            }
                        });
    }

    private final class RegistrationHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            ctx.writeAndFlush(DirectoryMessages.register(line.get()));
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            loop.schedule(
                    DirectoryRegistration.this::connect,
                    RECONNECT_DELAY_MILLIS,
                    TimeUnit.MILLISECONDS);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
