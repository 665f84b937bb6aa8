package sagepulley.codec.frame;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * The client's end of a connection that carries frames. It owns each frame it receives, and drops
 * those of a connection that its client has given up already.
 */
public abstract class FrameClientHandler extends ChannelInboundHandlerAdapter {
    /** Whether the client still uses this connection. */
    protected abstract boolean isCurrent(Channel channel);

    /** A frame of the current connection; it is released afterwards. */
    protected abstract void received(Frame frame) throws MalformedMessageException;

    @Override
    public final void channelRead(ChannelHandlerContext ctx, Object message)
            throws MalformedMessageException {
        Frame frame = (Frame) message;
        try {
            if (isCurrent(ctx.channel())) {
                received(frame);
            }
        } finally {
            frame.release();
        }
    }
}
