package sagepulley.platform;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.epoll.EpollTcpInfo;

/**
 * How long ago the bytes read last came to this machine, by the kernel's book: a loop that had no CPU reads them
 * late, and that is no node's queue and no client's haste. One for each loop.
 */
final class Arrival {
    /** The kernel counts in ticks of 4 ms mostly and tells a figure that is half of one too long on average. */
    private static final double HALF_TICK = 2;
    private static final double TWO_TICKS = 8;
    /** A connection that stands; what tells no state at all tells nothing. */
    private static final int ESTABLISHED = 1;
    private static final int NOT_TOLD = 0;

    private final EpollTcpInfo info = new EpollTcpInfo();

    /** Milliseconds, and no more than are possible; 0 where the kernel does not tell. */
    double ago(Channel channel, double most) {
        return asked(channel) ? Math.max(0, Math.min(info.lastDataRecv() - HALF_TICK, most)) : 0;
    }

    /** Whether the connection stands and has brought nothing for so many milliseconds, as far as that is told. */
    boolean isQuietSince(Channel channel, double ago) {
        if (!(channel instanceof EpollSocketChannel)) {
            return true;
        }
        if (!asked(channel)) {
            return false;
        }
        return info.state() == NOT_TOLD
                || info.state() == ESTABLISHED && info.lastDataRecv() >= ago - TWO_TICKS;
    }

    private boolean asked(Channel channel) {
        if (!(channel instanceof EpollSocketChannel socket)) {
            return false;
        }
        try {
            socket.tcpInfo(info);
            return true;
        } catch (ChannelException closed) {
            return false;
        }
    }
}
