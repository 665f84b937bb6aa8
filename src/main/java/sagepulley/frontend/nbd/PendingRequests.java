package sagepulley.frontend.nbd;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Requests in flight, by the session that sent them, and the graceful shutdown that waits for the
 * last of them. Confined to the engine's event loop.
 */
final class PendingRequests {
    private final Map<NbdSession, Set<PendingRequest>> bySession = new HashMap<>();
    private boolean stopping;
    private Runnable whenEmpty;

    /** Counts a request as in flight until {@link #complete}. */
    void add(PendingRequest request) {
        bySession.computeIfAbsent(request.session, any -> new HashSet<>()).add(request);
    }

    /** Whether the request is in flight. */
    boolean contains(PendingRequest request) {
        Set<PendingRequest> requests = bySession.get(request.session);
        return requests != null && requests.contains(request);
    }

    /** Takes out all requests of a session that has ended; empty if it had none. */
    Set<PendingRequest> removeAll(NbdSession session) {
        Set<PendingRequest> removed = bySession.remove(session);
        return removed == null ? Set.of() : removed;
    }

    /** Answers a request whose parts have all ended. */
    void complete(PendingRequest request) {
        Set<PendingRequest> requests = bySession.get(request.session);
        if (requests != null) {
            requests.remove(request);
            if (requests.isEmpty()) {
                bySession.remove(request.session);
            }
        }
        request.session.sendReply(request);
        notifyIfEmpty();
    }

    /** Begins the graceful shutdown: runs the callback once no request is in flight. */
    void stop(Runnable whenEmpty) {
        this.stopping = true;
        this.whenEmpty = whenEmpty;
        notifyIfEmpty();
    }

    /** Whether the graceful shutdown has begun, so that new requests are refused. */
    boolean isStopping() {
        return stopping;
    }

    /** Runs the shutdown's callback, once, if nothing is in flight any more. */
    void notifyIfEmpty() {
        if (stopping && whenEmpty != null && bySession.isEmpty()) {
            Runnable callback = whenEmpty;
            whenEmpty = null;
            callback.run();
        }
    }
}
