package sagepulley.standin;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import sagepulley.upstream.frame.StoreMessages;

/**
 * Manages the write tokens (fencing tokens) of a stand-in node's extents: only the gateway that
 * holds an extent's token may modify it. Used on the node's loop only.
 */
final class WriteTokens {
    /** Minimum hold time, so that a holder's writes arrive before the token is passed on. */
    private static final long MIN_HOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    private record Request(GatewaySession session, long id) {}

    private static final class Token {
        GatewaySession holder;
        long heldSinceNanos;
        final Queue<Request> waiting = new ArrayDeque<>(1);
    }

    private final EventLoop loop;
    private final Map<ExtentKey, Token> tokens = new HashMap<>();

    WriteTokens(EventLoop loop) {
        this.loop = loop;
    }

    boolean isHeldBy(GatewaySession session, ExtentKey extent) {
        Token token = tokens.get(extent);
        return token != null && token.holder == session;
    }

    /** Requests an extent's token for a session, which is notified when the token is granted. */
    void request(GatewaySession session, ExtentKey extent, long requestId) {
        Token token = tokens.computeIfAbsent(extent, any -> new Token());
        token.waiting.add(new Request(session, requestId));
        grantToWaiting(extent, token);
    }

    /** Frees the tokens held by an ended session, except those with waiting requests. */
    void release(GatewaySession session) {
        tokens.values().removeIf(token -> token.holder == session && token.waiting.isEmpty());
    }

    void clear() {
        tokens.clear();
    }

    private void grantToWaiting(ExtentKey extent, Token token) {
        while (!token.waiting.isEmpty()) {
            Request request = token.waiting.peek();
            long heldNanos = System.nanoTime() - token.heldSinceNanos;
            boolean held =
                    token.holder != null
                            && token.holder != request.session()
                            && token.holder.isActive();
            if (held && heldNanos < MIN_HOLD_NANOS) {
                loop.schedule(
                        () -> grantToWaiting(extent, token),
                        MIN_HOLD_NANOS - heldNanos,
                        TimeUnit.NANOSECONDS);
                return;
            }
            token.waiting.poll();
            if (held) {
                notify(token.holder, StoreMessages.WRITE_TOKEN_REVOKED, 0, extent);
            }
            token.holder = request.session();
            token.heldSinceNanos = System.nanoTime();
            notify(request.session(), StoreMessages.WRITE_TOKEN_GRANTED, request.id(), extent);
        }
    }

    private static void notify(GatewaySession session, int type, long requestId, ExtentKey extent) {
        session.send(StoreMessages.writeToken(type, requestId, extent.volume(), extent.extent()));
    }
}
