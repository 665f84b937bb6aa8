package sagepulley.codec.frame;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.ArrayDeque;

/**
 * Splits a byte stream into segments of the lengths that the subclass sets, without copying: a
 * segment is a slice of a received buffer or a composite of several slices. Buffers only the
 * current segment and data already read from the socket. Owns the buffers until the subclass
 * receives them; confined to the channel's event loop.
 */
public abstract class SegmentDecoder extends ChannelInboundHandlerAdapter {
    private final ArrayDeque<ByteBuf> pendingBuffers = new ArrayDeque<>(2);
    private ByteBuf segment;
    private long remainingBytes = -1;
    private boolean skipping;
    private boolean halted;
    private boolean ended;
    private boolean decoding;
    private ChannelHandlerContext context;

    /**
     * Handles the expected segment, which is empty after a skip. The subclass owns the segment and
     * must call {@link #expect}, {@link #skip} or {@link #end}.
     */
    protected abstract void segmentReceived(ChannelHandlerContext ctx, ByteBuf complete)
            throws MalformedMessageException;

    /** Sets the length of the next segment, which is delivered when it is complete. */
    protected final void expect(int bytes) {
        remainingBytes = bytes;
        skipping = false;
    }

    /** Discards the given number of bytes, then delivers an empty segment. */
    protected final void skip(long bytes) {
        remainingBytes = bytes;
        skipping = true;
    }

    /** Stops decoding and reading from the socket until {@link #resume}. */
    protected final void halt() {
        halted = true;
        context.channel().config().setAutoRead(false);
    }

    /** Resumes decoding and reading after {@link #halt}. */
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

    /** Releases all buffers and discards all further bytes. */
    protected final void end() {
        ended = true;
        releaseBuffers();
    }

    /** Returns whether part of a segment has been received. */
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
        pendingBuffers.add(bytes);
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
                ByteBuf first = pendingBuffers.peek();
                if (first == null) {
                    break;
                }
                int partLength = (int) Math.min(remainingBytes, first.readableBytes());
                if (skipping) {
                    first.skipBytes(partLength);
                } else {
                    append(ctx, first.readRetainedSlice(partLength));
                }
                remainingBytes -= partLength;
                if (!first.isReadable()) {
                    pendingBuffers.poll().release();
                }
            }
        } catch (MalformedMessageException malformed) {
            end();
            ctx.fireExceptionCaught(malformed);
        } finally {
            decoding = false;
        }
    }

    private void deliver(ChannelHandlerContext ctx) throws MalformedMessageException {
        ByteBuf complete = segment == null ? Unpooled.EMPTY_BUFFER : segment;
        segment = null;
        remainingBytes = -1;
        segmentReceived(ctx, complete);
        if (remainingBytes < 0 && !ended) {
            throw new IllegalStateException("segmentReceived did not set the next segment");
        }
    }

    private void append(ChannelHandlerContext ctx, ByteBuf bytes) {
        if (segment == null) {
            segment = bytes;
        } else if (segment instanceof CompositeByteBuf composite) {
            composite.addComponent(true, bytes);
        } else {
            segment =
                    ctx.alloc()
                            .compositeBuffer(Integer.MAX_VALUE)
                            .addComponent(true, segment)
                            .addComponent(true, bytes);
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
        for (ByteBuf bytes = pendingBuffers.poll(); bytes != null; bytes = pendingBuffers.poll()) {
            bytes.release();
        }
    }
}
