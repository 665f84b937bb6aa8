package sagepulley.codec.frame;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Receives the frames of a client's connection and releases them. Frames of a connection that the
 * client no longer uses are dropped.
 */
public abstract class FrameClientHandler extends ChannelInboundHandlerAdapter {
    /** Returns whether the client still uses this connection. */
    protected abstract boolean isCurrent(Channel channel);

    /** Handles a frame of the current connection; the frame is released afterwards. */
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
