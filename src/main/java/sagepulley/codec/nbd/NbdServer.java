package sagepulley.codec.nbd;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelPipeline;

/** Puts the server's side of the protocol onto a new connection. */
public final class NbdServer {
    private NbdServer() {}

    /**
     * Decoder, handshake, and behind them the session: it is told {@link Attached} as an event,
     * then gets each {@link NbdRequest}; what is wrong with the bytes comes to it as an exception.
     */
    public static void addTo(
            ChannelPipeline pipeline, Exports exports, AdmissionGate gate, ChannelHandler session) {
        NbdServerDecoder decoder = new NbdServerDecoder(gate);
        pipeline.addLast(decoder, new Handshake(exports, decoder), session);
    }

    /**
     * Whether a client has begun a message, or the handshake, and not finished it. On its own loop.
     */
    public static boolean isInsideMessage(ChannelPipeline pipeline) {
        return pipeline.get(NbdServerDecoder.class).isInsideMessage();
    }
}
