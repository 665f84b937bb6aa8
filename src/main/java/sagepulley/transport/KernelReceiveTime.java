package sagepulley.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.epoll.EpollTcpInfo;

/**
 * How long ago the bytes read last came to this machine, by the kernel's book: a loop that had no
 * CPU reads them late, and that is no node's queue and no client's haste. One for each loop.
 */
public final class KernelReceiveTime {
    /**
     * The kernel counts in ticks of 4 ms mostly and tells a figure that is half of one too long on
     * average.
     */
    private static final double HALF_TICK_MILLIS = 2;

    private final EpollTcpInfo info = new EpollTcpInfo();

    /** Milliseconds, and no more than are possible; 0 where the kernel does not tell. */
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
