package sagepulley.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.epoll.EpollTcpInfo;

/**
 * How long ago the bytes read last came to this machine, by the kernel's TCP_INFO. An event loop
 * that had no CPU reads them late, which must not count as time that a peer took. Used by one event
 * loop.
 */
public final class KernelReceiveTime {
    /**
     * The kernel counts in ticks of 4 ms, so that its figure is half a tick too long on average.
     */
    private static final double HALF_TICK_MILLIS = 2;

    private final EpollTcpInfo info = new EpollTcpInfo();

    /** Milliseconds between 0 and the maximum; 0 where the kernel gives no figure. */
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
