package sagepulley.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.epoll.EpollTcpInfo;

/**
 * Determines how long ago the last bytes on a connection arrived at this host, from the kernel's
 * TCP_INFO.
 *
 * <p>An event loop that is short of CPU time reads bytes late, which must not count as latency of
 * the peer. Used by one event loop.
 */
public final class KernelReceiveTime {
    /** The kernel counts in ticks of 4 ms, so its value is half a tick too high on average. */
    private static final double HALF_TICK_MILLIS = 2;

    private final EpollTcpInfo info = new EpollTcpInfo();

    /**
     * Returns the milliseconds since the last bytes arrived, between 0 and the maximum; 0 if the
     * kernel provides no time.
     */
    public double millisSinceReceived(Channel channel, double maxMillis) {
        if (!(channel instanceof EpollSocketChannel socket)) {
            return 0;
        }
        try {
            socket.tcpInfo(info);
        } catch (ChannelException closed) {
            return 0;
        }
        return Math.max(0, Math.min(info.lastDataRecv() - HALF_TICK_MILLIS, maxMillis));
    }
}
