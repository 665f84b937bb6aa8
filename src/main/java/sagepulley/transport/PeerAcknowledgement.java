package sagepulley.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.epoll.EpollTcpInfo;

/**
 * Determines from the kernel's TCP_INFO whether a peer has acknowledged what was sent to it. Used
 * by one event loop.
 */
public final class PeerAcknowledgement {
    /** TCP_ESTABLISHED of the kernel's tcp_states.h. */
    private static final int ESTABLISHED = 1;

    private final EpollTcpInfo info = new EpollTcpInfo();

    /**
     * Returns whether the connection stands and the peer's kernel has acknowledged all bytes sent;
     * false if that is not known.
     */
    public boolean isComplete(Channel channel) {
        if (!(channel instanceof EpollSocketChannel socket)) {
            return false;
        }
        try {
            socket.tcpInfo(info);
        } catch (ChannelException closed) {
            return false;
        }
        // A reset drops what was not acknowledged, too.
        return info.state() == ESTABLISHED && info.unacked() == 0;
    }
}
