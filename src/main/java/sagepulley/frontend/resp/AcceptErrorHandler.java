package sagepulley.frontend.resp;

import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;
import sagepulley.logging.LogWriter;

/**
 * Pauses accepting for a moment after a failed accept, for example when the client has disconnected
 * or when file descriptors or buffers are exhausted.
 *
 * <p>Netty's default pause of one second would leave clients waiting in the backlog, and the
 * listener could be closed before they are accepted.
 */
final class AcceptErrorHandler extends ChannelInboundHandlerAdapter {
    private static final long ACCEPT_PAUSE_MILLIS = 10;
    private static final int FAILURES_PER_LOG_LINE = 100;
    private int failures;

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (failures++ % FAILURES_PER_LOG_LINE == 0) {
            LogWriter.warn(
                    "connection accept failed", "reason", cause.getMessage(), "failures", failures);
        }
        ChannelConfig config = context.channel().config();
        config.setAutoRead(false);
        context.channel()
                .eventLoop()
                .schedule(
                        () -> config.setAutoRead(true), ACCEPT_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
    }
}
