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

/**
 * One client's connection: requests to the house, and each one's reply back. Lives on the client's
 * loop.
 */
final class NbdSession extends ChannelInboundHandlerAdapter {
    private static final Logger LOG = LoggerFactory.getLogger(NbdSession.class);
    private static final int ZEROES_AT_ONCE = 1 << 16;
    private static final ByteBuf ZEROES =
            Unpooled.unreleasableBuffer(
                    Unpooled.directBuffer(ZEROES_AT_ONCE).writeZero(ZEROES_AT_ONCE).asReadOnly());

    private final NbdEngine engine;
    private final BufferBudget.Client room;
    private Channel channel;
    private ExportedVolume disk;
    private boolean structured;
    private boolean baseAllocation;
    private boolean flushDue;
    private int inHand;
    private boolean leaving;

    NbdSession(NbdEngine engine, BufferBudget.Client room) {
        this.engine = engine;
        this.room = room;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof AttachedExport attached) {
            disk = engine.disk(attached.export().name());
            structured = attached.structured();
            baseAllocation = attached.baseAllocation();
            LOG.atInfo()
                    .addKeyValue("volume", disk.line.name())
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
                        && engine.waitsForRest(channel)
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
        NbdRequest asked = (NbdRequest) message;
        if (asked.command() == NbdConstants.CMD_DISC) {
            // 'Terminating the transmission phase': what is in hand may be answered first.
            room.give(asked.admitted());
            leaving = true;
            channel.config().setAutoRead(false);
            if (inHand == 0) {
                channel.close();
            }
            return;
        }
        if (leaving) {
            asked.payload().release();
            room.give(asked.admitted());
            return;
        }
        PendingRequest.Failed wrong =
                RequestSplitter.wrong(
                        asked.command(),
                        asked.flags(),
                        asked.offset(),
                        Integer.toUnsignedLong(asked.length()),
                        disk,
                        structured,
                        baseAllocation);
        if (wrong == null && asked.admitted() == 0) {
            wrong =
                    new PendingRequest.Failed(
                            -1,
                            NbdConstants.EINVAL,
                            "longer than " + disk.export.maxBlockSize() + " bytes");
        }
        inHand++;
        if (wrong != null) {
            asked.payload().release();
            PendingRequest request = new PendingRequest(this, asked, disk, 0);
            request.failed.add(wrong);
            reply(request);
            return;
        }
        engine.take(this, asked, disk);
    }

    /** Writes the one reply of a request. From any loop. */
    void answer(PendingRequest request) {
        if (channel.eventLoop().inEventLoop()) {
            reply(request);
        } else {
            channel.eventLoop().execute(() -> reply(request));
        }
    }

    private void reply(PendingRequest request) {
        if (!channel.isActive()) {
            request.release();
            gone(request);
            return;
        }
        ChannelFuture written = structured ? structured(request) : simple(request);
        written.addListener(done -> gone(request));
        if (!flushDue) {
            flushDue = true;
            channel.eventLoop()
                    .execute(
                            () -> {
                                flushDue = false;
                                channel.flush();
                            });
        }
    }

    private void gone(PendingRequest request) {
        room.give(request.asked.admitted());
        if (--inHand == 0 && leaving) {
            channel.close();
        }
    }

    private ChannelFuture simple(PendingRequest request) {
        int error = request.error();
        if (error != 0) {
            request.release();
        }
        return NbdReplies.simple(channel, request.asked.cookie(), error, joined(request));
    }

    private ChannelFuture structured(PendingRequest request) {
        long cookie = request.asked.cookie();
        boolean whole = (request.asked.flags() & NbdConstants.CMD_FLAG_DF) != 0;
        if (request.blocks != null && request.failed.isEmpty()) {
            return NbdReplies.blockStatus(channel, cookie, request.blocks, request.blocks.length);
        }
        if (whole && !request.failed.isEmpty()) {
            request.release();
        }
        if (whole && request.failed.isEmpty()) {
            return NbdReplies.data(channel, cookie, request.asked.offset(), joined(request), true);
        }
        int left = request.found.size() + request.failed.size();
        if (left == 0) {
            return NbdReplies.done(channel, cookie);
        }
        ChannelFuture last = null;
        for (PendingRequest.Found found : request.found) {
            boolean end = --left == 0;
            last =
                    found.data() == null
                            ? NbdReplies.hole(channel, cookie, found.at(), found.length(), end)
                            : NbdReplies.data(channel, cookie, found.at(), found.data(), end);
        }
        request.found.clear();
        // The gravest first: clients take the first error for the request's.
        request.failed.sort(Comparator.comparing(failed -> failed.error() == NbdConstants.ENOMEM));
        for (PendingRequest.Failed failed : request.failed) {
            last =
                    NbdReplies.error(
                            channel,
                            cookie,
                            failed.error(),
                            failed.why(),
                            failed.at(),
                            --left == 0);
        }
        return last;
    }

    /** All that a read found, in order and in one piece. */
    private ByteBuf joined(PendingRequest request) {
        if (request.found.size() == 1 && request.found.get(0).data() != null) {
            return request.found.remove(0).data();
        }
        if (request.found.isEmpty()) {
            return Unpooled.EMPTY_BUFFER;
        }
        request.found.sort(Comparator.comparingLong(PendingRequest.Found::at));
        CompositeByteBuf all = channel.alloc().compositeBuffer(Integer.MAX_VALUE);
        for (PendingRequest.Found found : request.found) {
            if (found.data() != null) {
                all.addComponent(true, found.data());
                continue;
            }
            for (int left = found.length(); left > 0; left -= ZEROES_AT_ONCE) {
                all.addComponent(true, ZEROES.duplicate().slice(0, Math.min(left, ZEROES_AT_ONCE)));
            }
        }
        request.found.clear();
        return all;
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        room.close();
        engine.left(this);
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
