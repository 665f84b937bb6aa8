package sagepulley.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.channel.local.LocalChannel;
import io.netty.channel.local.LocalIoHandler;
import io.netty.channel.local.LocalServerChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.ConnectException;
import java.util.function.Consumer;
import sagepulley.codec.frame.EventLoops;
import sagepulley.logging.LogWriter;

/** An event loop and the channel types used on it: TCP sockets or in-process channels. */
public record Transport(
        EventLoopGroup eventLoops,
        Class<? extends Channel> socket,
        Class<? extends ServerChannel> server) {
    /** Creates a transport of TCP sockets with its own event loop. */
    public static Transport sockets() {
        return sockets(() -> {});
    }

    /**
     * Creates a transport of TCP sockets with its own event loop.
     *
     * @param onThreadEnd runs on the event loop's thread when that ends, for whatever reason
     */
    public static Transport sockets(Runnable onThreadEnd) {
        return new Transport(
                EventLoops.group(1, "gateway", onThreadEnd),
                EventLoops.socket(),
                EventLoops.server());
    }

    /** Returns a bootstrap for outgoing connections. */
    public Bootstrap connector() {
        Bootstrap connector = new Bootstrap().group(eventLoops).channel(socket);
        return SocketChannel.class.isAssignableFrom(socket)
                ? connector.option(ChannelOption.TCP_NODELAY, true)
                : connector;
    }

    /** Returns the channel of a connection attempt; null if the system granted no socket for it. */
    public static Channel channelOf(ChannelFuture connecting) {
        return connecting.isDone() && !connecting.channel().isRegistered()
                ? null
                : connecting.channel();
    }

    /**
     * Runs the task on the event loop if the connection fails. If the system granted no socket, the
     * future completes on another thread and its channel cannot be closed.
     */
    public static void onConnectFailure(
            ChannelFuture connecting, EventLoop loop, Consumer<Throwable> task) {
        connecting.addListener(
                connected -> {
                    if (connected.isSuccess()) {
                        return;
                    }
                    if (loop.inEventLoop()) {
                        task.accept(connected.cause());
                    } else {
                        loop.execute(() -> task.accept(connected.cause()));
                    }
                });
    }

    /**
     * Creates a transport of in-process channels with its own event loop, whose thread does not
     * log.
     */
    public static Transport inProcess() {
        return new Transport(
                new MultiThreadIoEventLoopGroup(
                        1,
                        new DefaultThreadFactory(LogWriter.WARM_UP_THREAD_PREFIX, true),
                        LocalIoHandler.newFactory()),
                LocalChannel.class,
                LocalServerChannel.class);
    }

    /** Returns whether a connection failed because no process listens on the port. */
    public static boolean isRefused(Throwable cause) {
        return cause instanceof ConnectException
                && !(cause instanceof ConnectTimeoutException)
                && String.valueOf(cause.getMessage()).contains("refused");
    }

    /** Returns the message of the root cause, such as the error of the operating system. */
    public static String systemMessage(Throwable failure) {
        Throwable root = failure;
        while (root.getCause() != null) {
            root = root.getCause();
        }
        return root.getMessage();
    }
}
