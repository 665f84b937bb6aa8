package sagepulley.frontend.nbd;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sagepulley.codec.frame.MalformedMessageException;
import sagepulley.codec.nbd.AttachedExport;
import sagepulley.codec.nbd.NbdConstants;
import sagepulley.codec.nbd.NbdRequest;
import sagepulley.codec.nbd.NbdServer;

/**
 * Handles one client connection in the transmission phase: validates requests, passes them to the
 * engine and writes their replies. Confined to the client's event loop, except for {@link
 * #sendReply}.
 */
final class NbdSession extends ChannelInboundHandlerAdapter {
    /** Maximum time from the FIN to a client in the shutdown until the FIN of the client. */
    private static final long CLIENT_FIN_TIMEOUT_MILLIS = 1_000;

    private static final Logger LOG = LoggerFactory.getLogger(NbdSession.class);

    private final NbdEngine engine;
    private final BufferBudget.ClientBudget budget;
    private Channel channel;
    private ExportedVolume volume;
    private boolean structured;
    private RequestValidator validator;
    private boolean flushScheduled;
    private int requestsInFlight;
    private boolean disconnecting;

    /** Whether the gateway shuts down, so that the connection ends after the last reply. */
    private boolean closing;

    /** Whether the output is shut down; further requests are dropped. */
    private boolean outputShutDown;

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
            validator = new RequestValidator(volume, structured, attached.baseAllocation());
            LOG.atInfo()
                    .addKeyValue("volume", volume.settings.name())
                    .addKeyValue("client", channel.remoteAddress())
                    .addKeyValue("structured", structured)
                    .log("client attached");
        } else if (event instanceof IdleStateEvent idle) {
            closeIfStalled(idle.state());
        }
    }

    /**
     * Closes the connection if the client stalls within a message or does not read replies, because
     * it holds buffer budget that other clients need.
     */
    private void closeIfStalled(IdleState state) {
        boolean readStalled =
                state == IdleState.READER_IDLE
                        && NbdServer.isInsideMessage(channel.pipeline())
                        && channel.config().isAutoRead();
        boolean writeStalled = state == IdleState.WRITER_IDLE && !channel.isWritable();
        if (readStalled || writeStalled) {
            String reason =
                    readStalled
                            ? "client connection closed, incomplete message"
                            : "client connection closed, replies not read";
            LOG.atInfo().addKeyValue("client", channel.remoteAddress()).log(reason);
            channel.close();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        NbdRequest command = (NbdRequest) message;
        if (command.command() == NbdConstants.CMD_DISC) {
            disconnect(command);
            return;
        }
        if (disconnecting || outputShutDown) {
            command.payload().release();
            budget.release(command.admitted());
            return;
        }
        requestsInFlight++;
        PendingRequest.RequestError error = validator.validate(command);
        if (error == null) {
            engine.submit(this, command, volume);
            return;
        }
        command.payload().release();
        PendingRequest request = new PendingRequest(this, command, volume, 0);
        request.addError(error);
        writeReply(request);
    }

    /**
     * Handles NBD_CMD_DISC: stops reading, and closes the connection once the requests in flight
     * are answered ('Terminating the transmission phase').
     */
    private void disconnect(NbdRequest command) {
        budget.release(command.admitted());
        disconnecting = true;
        channel.config().setAutoRead(false);
        if (requestsInFlight == 0) {
            channel.close();
        }
    }

    /**
     * Ends the connection once the replies to all requests in flight are written. May be called
     * from any thread.
     */
    void closeOnceAnswered() {
        channel.eventLoop()
                .execute(
                        () -> {
                            closing = true;
                            shutDownOutputIfAnswered();
                        });
    }

    /**
     * Sends FIN behind the last reply. Input is still read and dropped, because the kernel would
     * answer unread input with a reset at the close, and a reset drops replies under way.
     */
    private void shutDownOutputIfAnswered() {
        if (requestsInFlight > 0 || outputShutDown) {
            return;
        }
        outputShutDown = true;
        ((DuplexChannel) channel).shutdownOutput();
        channel.eventLoop()
                .schedule(() -> channel.close(), CLIENT_FIN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Sends the reply of a request, or only releases its data and budget if the connection has
     * closed. May be called from any event loop.
     */
    void sendReply(PendingRequest request) {
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
        ChannelFuture written =
                structured
                        ? ReplyWriter.writeStructured(channel, request)
                        : ReplyWriter.writeSimple(channel, request);
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
        if (--requestsInFlight > 0) {
            return;
        }
        if (disconnecting) {
            channel.close();
        } else if (closing) {
            shutDownOutputIfAnswered();
        }
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
                    .log("client connection closed, malformed message");
        } else if (!(cause instanceof IOException)) {
            LOG.atError()
                    .setCause(cause)
                    .addKeyValue("client", channel.remoteAddress())
                    .log("session failed");
        }
        ctx.close();
    }
}
