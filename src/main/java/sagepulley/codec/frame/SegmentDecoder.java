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
    private final ArrayDeque<ByteBuf> unread = new ArrayDeque<>(2);
    private ByteBuf gathered;
    private long need = -1;
    private boolean skipping;
    private boolean halted;
    private boolean ended;
    private boolean busy;
    private ChannelHandlerContext context;

    /**
     * The piece that was expected; empty after a skip. The subclass owns it and must say what comes
     * next.
     */
    protected abstract void piece(ChannelHandlerContext ctx, ByteBuf piece)
            throws MalformedMessageException;

    /** The next piece has so many bytes, which are kept until all are there. */
    protected final void expect(int bytes) {
        need = bytes;
        skipping = false;
    }

    /** So many bytes come next that nobody wants. */
    protected final void skip(long bytes) {
        need = bytes;
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
        work(context);
    }

    /** What still comes is dropped unread. */
    protected final void end() {
        ended = true;
        drop();
    }

    /** Whether some of a message has come, but not all. */
    protected final boolean inMiddle() {
        return gathered != null;
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
        unread.add(bytes);
        work(ctx);
    }

    private void work(ChannelHandlerContext ctx) {
        if (busy) {
            return;
        }
        busy = true;
        try {
            while (!halted && !ended) {
                if (need == 0) {
                    deliver(ctx);
                    continue;
                }
                ByteBuf first = unread.peek();
                if (first == null) {
                    break;
                }
                int part = (int) Math.min(need, first.readableBytes());
                if (skipping) {
                    first.skipBytes(part);
                } else {
                    gather(ctx, first.readRetainedSlice(part));
                }
                need -= part;
                if (!first.isReadable()) {
                    unread.poll().release();
                }
            }
        } catch (MalformedMessageException bad) {
            end();
            ctx.fireExceptionCaught(bad);
        } finally {
            busy = false;
        }
    }

    private void deliver(ChannelHandlerContext ctx) throws MalformedMessageException {
        ByteBuf piece = gathered == null ? Unpooled.EMPTY_BUFFER : gathered;
        gathered = null;
        need = -1;
        piece(ctx, piece);
        if (need < 0 && !ended) {
            throw new IllegalStateException("nothing is expected next");
        }
    }

    private void gather(ChannelHandlerContext ctx, ByteBuf part) {
        if (gathered == null) {
            gathered = part;
        } else if (gathered instanceof CompositeByteBuf composite) {
            composite.addComponent(true, part);
        } else {
            gathered =
                    ctx.alloc()
                            .compositeBuffer(Integer.MAX_VALUE)
                            .addComponent(true, gathered)
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

    private void drop() {
        if (gathered != null) {
            gathered.release();
            gathered = null;
        }
        for (ByteBuf bytes = unread.poll(); bytes != null; bytes = unread.poll()) {
            bytes.release();
        }
    }
}
