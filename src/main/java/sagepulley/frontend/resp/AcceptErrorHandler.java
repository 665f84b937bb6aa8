package sagepulley.frontend.resp;

import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;
import sagepulley.logging.LogWriter;

/**
 * An accept that fails (a client that has gone, descriptors or buffers used up) holds back the next
 * one only for a moment. Netty's own handling accepts nothing for a second, in which clients that
 * the machine has accepted wait and the listener could close over them.
 */
final class AcceptErrorHandler extends ChannelInboundHandlerAdapter {
    private static final long PAUSE_MILLIS = 10;
    private static final int FAILURES_PER_LOG_LINE = 100;
    private int failures;

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (failures++ % FAILURES_PER_LOG_LINE == 0) {
            LogWriter.warn(
                    "a connection could not be accepted",
                    "why",
                    cause.getMessage(),
                    "failures",
                    failures);
        }
        ChannelConfig config = ctx.channel().config();
        config.setAutoRead(false);
        ctx.channel()
                .eventLoop()
                .schedule(() -> config.setAutoRead(true), PAUSE_MILLIS, TimeUnit.MILLISECONDS);
    }
}
