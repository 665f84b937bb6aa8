package sagepulley.upstream.frame;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import sagepulley.codec.frame.Frame;
import sagepulley.codec.frame.MalformedMessageException;

/**
 * Tracks the write tokens of one connection to a node. A write token is a fencing token: the
 * exclusive right to write one extent at the node (docs/protocols.md). Attempts wait here for the
 * token of their extent. Confined to the connection's event loop.
 */
final class WriteTokens {
    private static final int MAX_TOKENS = 1 << 16;

    /** Identifies an extent of a volume. */
    record ExtentKey(int volume, long extent) {}

    private static final class WriteToken {
        boolean granted;
        final ArrayDeque<Long> waitingAttempts = new ArrayDeque<>(2);
    }

    private final Map<ExtentKey, WriteToken> tokens = new HashMap<>();

    /** Extents whose token was requested and is not granted yet, by request id. */
    private final Map<Long, ExtentKey> requested = new HashMap<>();

    private long lastRequestId;

    /**
     * Returns whether an attempt may write the extent now. Otherwise the attempt waits, and the
     * token is requested through the writer unless a request is pending.
     */
    boolean acquire(ExtentKey key, long attempt, Consumer<Frame> writer) {
        WriteToken token = tokens.get(key);
        if (token == null) {
            token = request(key, writer);
        }
        if (!token.granted) {
            token.waitingAttempts.add(attempt);
        }
        return token.granted;
    }

    private WriteToken request(ExtentKey key, Consumer<Frame> writer) {
        if (tokens.size() >= MAX_TOKENS) {
            dropGranted();
        }
        WriteToken token = new WriteToken();
        tokens.put(key, token);
        requested.put(++lastRequestId, key);
        writer.accept(
                StoreMessages.writeToken(
                        StoreMessages.ACQUIRE_WRITE_TOKEN,
                        lastRequestId,
                        key.volume(),
                        key.extent()));
        return token;
    }

    /**
     * Records that the node granted a requested token, and returns the attempts that waited for it,
     * in order.
     */
    List<Long> onGranted(long requestId) throws MalformedMessageException {
        ExtentKey key = requested.remove(requestId);
        WriteToken token = key == null ? null : tokens.get(key);
        if (token == null) {
            throw new MalformedMessageException(
                    "write token granted for request " + requestId + ", which is not pending");
        }
        token.granted = true;
        List<Long> attempts = new ArrayList<>(token.waitingAttempts);
        token.waitingAttempts.clear();
        return attempts;
    }

    /** Removes a granted token that the node has given to another gateway. */
    void onRevoked(ExtentKey key) {
        WriteToken token = tokens.get(key);
        if (token != null && token.granted) {
            tokens.remove(key);
        }
    }

    /** Removes all granted tokens, so that they are requested again when needed. */
    void dropGranted() {
        tokens.values().removeIf(token -> token.granted);
    }

    /** Removes all tokens and pending requests; called when the connection has ended. */
    void clear() {
        tokens.clear();
        requested.clear();
    }
}
