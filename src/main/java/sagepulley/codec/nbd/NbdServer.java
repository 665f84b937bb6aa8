package sagepulley.codec.nbd;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelPipeline;

/** The server's side of the protocol on a connection. */
public final class NbdServer {
    private NbdServer() {}

    /**
     * Adds decoder, handshake and the session behind them. The session receives an {@link
     * AttachedExport} as an event, then each {@link NbdRequest}, which it owns; malformed bytes
     * come to it as an exception.
     */
    public static void addTo(
            ChannelPipeline pipeline, Exports exports, AdmissionGate gate, ChannelHandler session) {
        NbdServerDecoder decoder = new NbdServerDecoder(gate);
        pipeline.addLast(decoder, new Handshake(exports, decoder), session);
    }

    /**
     * Whether a client has begun the handshake or a message and not finished it. On its event loop.
     */
    public static boolean isInsideMessage(ChannelPipeline pipeline) {
        return pipeline.get(NbdServerDecoder.class).isInsideMessage();
    }
}
