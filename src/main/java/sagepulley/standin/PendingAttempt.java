package sagepulley.standin;

import io.netty.buffer.ByteBuf;
import sagepulley.upstream.frame.StoreMessages;

/** An attempt in a stand-in node's queue or in service; owns its payload. */
final class PendingAttempt {
    final GatewaySession session;
    final long id;
    final StoreMessages.Send send;
    final ByteBuf payload;

    /** Time of receipt, System.nanoTime. */
    final long receivedAtNanos = System.nanoTime();

    /** Start of service, System.nanoTime; 0 before. */
    long startedAtNanos;

    boolean cancelled;

    PendingAttempt(GatewaySession session, long id, StoreMessages.Send send, ByteBuf payload) {
        this.session = session;
        this.id = id;
        this.send = send;
        this.payload = payload;
    }
}
