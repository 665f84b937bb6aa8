package sagepulley.codec.frame;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollIoHandler;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.ThreadFactory;

/**
 * Creates event loops and selects the matching channel types: epoll where available, NIO otherwise.
 *
 * <p>The gateways need epoll: NIO neither reports a disconnect while reading is paused nor the time
 * at which the kernel received bytes. The stand-ins and the demo run on both.
 */
public final class EventLoops {
    private static final boolean EPOLL = Epoll.isAvailable();

    private EventLoops() {}

    /**
     * Checks that epoll is available.
     *
     * @throws EpollUnavailableException if Netty's native library cannot be used on this machine
     */
    public static void requireEpoll() throws EpollUnavailableException {
        if (!EPOLL) {
            throw new EpollUnavailableException(Epoll.unavailabilityCause());
        }
    }

    /** Returns the name of the transport in use. */
    public static String transportName() {
        return EPOLL ? "epoll" : "nio";
    }

    /** Creates event loops that run on daemon threads with the given name prefix. */
    public static EventLoopGroup group(int loops, String name) {
        return group(loops, name, () -> {});
    }

    /**
     * Creates event loops that run on daemon threads with the given name prefix.
     *
     * @param onThreadEnd runs on each event loop's thread when that ends, for whatever reason
     */
    public static EventLoopGroup group(int loops, String name, Runnable onThreadEnd) {
        ThreadFactory daemons = new DefaultThreadFactory(name, true);
        ThreadFactory threads = task -> daemons.newThread(runThen(task, onThreadEnd));
        return new MultiThreadIoEventLoopGroup(
                loops, threads, EPOLL ? EpollIoHandler.newFactory() : NioIoHandler.newFactory());
    }

    private static Runnable runThen(Runnable task, Runnable onEnd) {
        return () -> {
            try {
                task.run();
            } finally {
                onEnd.run();
            }
        };
    }

    /** Returns the class of client sockets. */
    public static Class<? extends Channel> socket() {
        return EPOLL ? EpollSocketChannel.class : NioSocketChannel.class;
    }

    /** Returns the class of listening sockets. */
    public static Class<? extends ServerChannel> server() {
        return EPOLL ? EpollServerSocketChannel.class : NioServerSocketChannel.class;
    }
}
