package sagepulley.codec.nbd;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelPipeline;

/** Sets up the server side of the protocol on a connection. */
public final class NbdServer {
    private NbdServer() {}

    /**
     * Adds the decoder, the handshake and the session to the pipeline. The session receives an
     * {@link AttachedExport} as a user event, then each {@link NbdRequest}, which it owns.
     * Malformed bytes reach it as an exception.
     */
    public static void addTo(
            ChannelPipeline pipeline, Exports exports, AdmissionGate gate, ChannelHandler session) {
        NbdServerDecoder decoder = new NbdServerDecoder(gate);
        pipeline.addLast(decoder, new Handshake(exports, decoder), session);
    }

    /**
     * Returns whether the handshake is incomplete or a message has been received only in part. Must
     * be called on the connection's event loop.
     */
    public static boolean isInsideMessage(ChannelPipeline pipeline) {
        return pipeline.get(NbdServerDecoder.class).isInsideMessage();
    }
}
