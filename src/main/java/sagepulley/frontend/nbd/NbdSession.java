package sagepulley.frontend.nbd;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import java.util.Comparator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sagepulley.codec.frame.MalformedMessageException;
import sagepulley.codec.nbd.AttachedExport;
import sagepulley.codec.nbd.NbdConstants;
import sagepulley.codec.nbd.NbdReplies;
import sagepulley.codec.nbd.NbdRequest;
import sagepulley.codec.nbd.NbdServer;

/**
 * One client's connection: requests to the house, and each one's reply back. Lives on the client's
 * loop.
 */
final class NbdSession extends ChannelInboundHandlerAdapter {
    private static final Logger LOG = LoggerFactory.getLogger(NbdSession.class);
    private static final int ZERO_BLOCK_BYTES = 1 << 16;
    private static final ByteBuf ZEROES =
            Unpooled.unreleasableBuffer(
                    Unpooled.directBuffer(ZERO_BLOCK_BYTES)
                            .writeZero(ZERO_BLOCK_BYTES)
                            .asReadOnly());

    private final NbdEngine engine;
    private final BufferBudget.ClientBudget budget;
    private Channel channel;
    private ExportedVolume volume;
    private boolean structured;
    private boolean baseAllocation;
    private boolean flushScheduled;
    private int requestsInFlight;
    private boolean disconnecting;

    NbdSession(NbdEngine engine, BufferBudget.ClientBudget budget) {
        this.engine = engine;
        this.budget = budget;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof AttachedExport attached) {
            volume = engine.exportedVolume(attached.export().name());
            structured = attached.structured();
            baseAllocation = attached.baseAllocation();
            LOG.atInfo()
                    .addKeyValue("volume", volume.settings.name())
                    .addKeyValue("client", channel.remoteAddress())
                    .addKeyValue("structured", structured)
                    .log("client attached");
        } else if (event instanceof IdleStateEvent idle) {
            idle(idle.state());
        }
    }

    /**
     * A client that stops in the middle of a message, or reads no replies, holds what others could
     * use.
     */
    private void idle(IdleState state) {
        boolean stuckReading =
                state == IdleState.READER_IDLE
                        && NbdServer.isInsideMessage(channel.pipeline())
                        && channel.config().isAutoRead();
        boolean stuckWriting = state == IdleState.WRITER_IDLE && !channel.isWritable();
        if (stuckReading || stuckWriting) {
            LOG.atInfo()
                    .addKeyValue("client", channel.remoteAddress())
                    .log(
                            stuckReading
                                    ? "client stopped inside a message"
                                    : "client reads no replies");
            channel.close();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        NbdRequest command = (NbdRequest) message;
        if (command.command() == NbdConstants.CMD_DISC) {
            // 'Terminating the transmission phase': what is in hand may be answered first.
            budget.release(command.admitted());
            disconnecting = true;
            channel.config().setAutoRead(false);
            if (requestsInFlight == 0) {
                channel.close();
            }
            return;
        }
        if (disconnecting) {
            command.payload().release();
            budget.release(command.admitted());
            return;
        }
        PendingRequest.RequestError error =
                RequestSplitter.validate(
                        command.command(),
                        command.flags(),
                        command.offset(),
                        Integer.toUnsignedLong(command.length()),
                        volume,
                        structured,
                        baseAllocation);
        if (error == null && command.admitted() == 0) {
            error =
                    new PendingRequest.RequestError(
                            -1,
                            NbdConstants.EINVAL,
                            "longer than " + volume.export.maxBlockSize() + " bytes");
        }
        requestsInFlight++;
        if (error != null) {
            command.payload().release();
            PendingRequest request = new PendingRequest(this, command, volume, 0);
            request.errors.add(error);
            writeReply(request);
            return;
        }
        engine.submit(this, command, volume);
    }

    /** Writes the one reply of a request. From any loop. */
    void answer(PendingRequest request) {
        if (channel.eventLoop().inEventLoop()) {
            writeReply(request);
        } else {
            channel.eventLoop().execute(() -> writeReply(request));
        }
    }

    private void writeReply(PendingRequest request) {
        if (!channel.isActive()) {
            request.release();
            replyWritten(request);
            return;
        }
        ChannelFuture written = structured ? structured(request) : writeSimpleReply(request);
        written.addListener(done -> replyWritten(request));
        if (!flushScheduled) {
            flushScheduled = true;
            channel.eventLoop()
                    .execute(
                            () -> {
                                flushScheduled = false;
                                channel.flush();
                            });
        }
    }

    private void replyWritten(PendingRequest request) {
        budget.release(request.command.admitted());
        if (--requestsInFlight == 0 && disconnecting) {
            channel.close();
        }
    }

    private ChannelFuture writeSimpleReply(PendingRequest request) {
        int error = request.error();
        if (error != 0) {
            request.release();
        }
        return NbdReplies.simple(channel, request.command.cookie(), error, joinChunks(request));
    }

    private ChannelFuture structured(PendingRequest request) {
        long cookie = request.command.cookie();
        boolean singleChunk = (request.command.flags() & NbdConstants.CMD_FLAG_DF) != 0;
        if (request.blockDescriptors != null && request.errors.isEmpty()) {
            return NbdReplies.blockStatus(
                    channel, cookie, request.blockDescriptors, request.blockDescriptors.length);
        }
        if (singleChunk && !request.errors.isEmpty()) {
            request.release();
        }
        if (singleChunk && request.errors.isEmpty()) {
            return NbdReplies.data(
                    channel, cookie, request.command.offset(), joinChunks(request), true);
        }
        int remaining = request.readChunks.size() + request.errors.size();
        if (remaining == 0) {
            return NbdReplies.done(channel, cookie);
        }
        ChannelFuture last = null;
        for (PendingRequest.ReadChunk chunk : request.readChunks) {
            boolean end = --remaining == 0;
            last =
                    chunk.data() == null
                            ? NbdReplies.hole(channel, cookie, chunk.offset(), chunk.length(), end)
                            : NbdReplies.data(channel, cookie, chunk.offset(), chunk.data(), end);
        }
        request.readChunks.clear();
        // The gravest first: clients take the first error for the request's.
        request.errors.sort(Comparator.comparing(error -> error.error() == NbdConstants.ENOMEM));
        for (PendingRequest.RequestError error : request.errors) {
            last =
                    NbdReplies.error(
                            channel,
                            cookie,
                            error.error(),
                            error.message(),
                            error.offset(),
                            --remaining == 0);
        }
        return last;
    }

    /** All that a read found, in order and in one piece. */
    private ByteBuf joinChunks(PendingRequest request) {
        if (request.readChunks.size() == 1 && request.readChunks.get(0).data() != null) {
            return request.readChunks.remove(0).data();
        }
        if (request.readChunks.isEmpty()) {
            return Unpooled.EMPTY_BUFFER;
        }
        request.readChunks.sort(Comparator.comparingLong(PendingRequest.ReadChunk::offset));
        CompositeByteBuf joined = channel.alloc().compositeBuffer(Integer.MAX_VALUE);
        for (PendingRequest.ReadChunk chunk : request.readChunks) {
            if (chunk.data() != null) {
                joined.addComponent(true, chunk.data());
                continue;
            }
            for (int remaining = chunk.length(); remaining > 0; remaining -= ZERO_BLOCK_BYTES) {
                joined.addComponent(
                        true, ZEROES.duplicate().slice(0, Math.min(remaining, ZERO_BLOCK_BYTES)));
            }
        }
        request.readChunks.clear();
        return joined;
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        budget.close();
        engine.sessionClosed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof MalformedMessageException) {
            engine.counters().protocolErrors.increment();
            LOG.atInfo()
                    .addKeyValue("client", channel.remoteAddress())
                    .addKeyValue("why", cause.getMessage())
                    .log("client ended for what it sent");
        } else if (!(cause instanceof java.io.IOException)) {
            LOG.atError()
                    .setCause(cause)
                    .addKeyValue("client", channel.remoteAddress())
                    .log("session failed");
        }
        ctx.close();
    }
}
