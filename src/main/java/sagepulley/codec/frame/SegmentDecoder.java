package sagepulley.codec.frame;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.ArrayDeque;

/**
 * Cuts a stream of bytes into pieces whose lengths the subclass asks for, one after the other,
 * without copying: a piece is a slice of what the socket delivered, or several in a row. Nothing is
 * kept that was not asked for, but for what one read of the socket delivered beyond it.
 */
public abstract class SegmentDecoder extends ChannelInboundHandlerAdapter {
    private final ArrayDeque<ByteBuf> unreadBuffers = new ArrayDeque<>(2);
    private ByteBuf segment;
    private long remainingBytes = -1;
    private boolean skipping;
    private boolean halted;
    private boolean ended;
    private boolean decoding;
    private ChannelHandlerContext context;

    /**
     * The piece that was expected; empty after a skip. The subclass owns it and must say what comes
     * next.
     */
    protected abstract void segmentReceived(ChannelHandlerContext ctx, ByteBuf piece)
            throws MalformedMessageException;

    /** The next piece has so many bytes, which are kept until all are there. */
    protected final void expect(int bytes) {
        remainingBytes = bytes;
        skipping = false;
    }

    /** So many bytes come next that nobody wants. */
    protected final void skip(long bytes) {
        remainingBytes = bytes;
        skipping = true;
    }

    /** Nothing more is read from the socket until {@link #resume}. */
    protected final void halt() {
        halted = true;
        context.channel().config().setAutoRead(false);
    }

    /** Goes on after a halt. On the channel's own loop only. */
    protected final void resume() {
        if (!halted) {
            return;
        }
        halted = false;
        if (ended || !context.channel().isActive()) {
            return;
        }
        context.channel().config().setAutoRead(true);
        decode(context);
    }

    /** What still comes is dropped unread. */
    protected final void end() {
        ended = true;
        releaseBuffers();
    }

    /** Whether some of a message has come, but not all. */
    protected final boolean isInsideSegment() {
        return segment != null;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        if (ended || !bytes.isReadable()) {
            bytes.release();
            return;
        }
        unreadBuffers.add(bytes);
        decode(ctx);
    }

    private void decode(ChannelHandlerContext ctx) {
        if (decoding) {
            return;
        }
        decoding = true;
        try {
            while (!halted && !ended) {
                if (remainingBytes == 0) {
                    deliver(ctx);
                    continue;
                }
                ByteBuf first = unreadBuffers.peek();
                if (first == null) {
                    break;
                }
                int part = (int) Math.min(remainingBytes, first.readableBytes());
                if (skipping) {
                    first.skipBytes(part);
                } else {
                    append(ctx, first.readRetainedSlice(part));
                }
                remainingBytes -= part;
                if (!first.isReadable()) {
                    unreadBuffers.poll().release();
                }
            }
        } catch (MalformedMessageException bad) {
            end();
            ctx.fireExceptionCaught(bad);
        } finally {
            decoding = false;
        }
    }

    private void deliver(ChannelHandlerContext ctx) throws MalformedMessageException {
        ByteBuf piece = segment == null ? Unpooled.EMPTY_BUFFER : segment;
        segment = null;
        remainingBytes = -1;
        segmentReceived(ctx, piece);
        if (remainingBytes < 0 && !ended) {
            throw new IllegalStateException("nothing is expected next");
        }
    }

    private void append(ChannelHandlerContext ctx, ByteBuf part) {
        if (segment == null) {
            segment = part;
        } else if (segment instanceof CompositeByteBuf composite) {
            composite.addComponent(true, part);
        } else {
            segment =
                    ctx.alloc()
                            .compositeBuffer(Integer.MAX_VALUE)
                            .addComponent(true, segment)
                            .addComponent(true, part);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) throws Exception {
        end();
        super.channelInactive(ctx);
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) {
        end();
    }

    private void releaseBuffers() {
        if (segment != null) {
            segment.release();
            segment = null;
        }
        for (ByteBuf bytes = unreadBuffers.poll(); bytes != null; bytes = unreadBuffers.poll()) {
            bytes.release();
        }
    }
}
