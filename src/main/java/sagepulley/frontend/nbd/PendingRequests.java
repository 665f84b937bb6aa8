package sagepulley.frontend.nbd;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Tracks the requests in flight by session, and completes the graceful shutdown after the last of
 * them. Confined to the engine's event loop.
 */
final class PendingRequests {
    private final Map<NbdSession, Set<PendingRequest>> bySession = new HashMap<>();
    private final Predicate<PendingRequest> mustWait;
    private boolean stopping;
    private Runnable whenEmpty;

    /**
     * @param mustWait returns whether a request whose parts have ended has to wait for further
     *     parts, which it has dispatched then
     */
    PendingRequests(Predicate<PendingRequest> mustWait) {
        this.mustWait = mustWait;
    }

    /** Adds a request, which stays in flight until {@link #complete} or {@link #removeAll}. */
    void add(PendingRequest request) {
        bySession.computeIfAbsent(request.session, any -> new HashSet<>()).add(request);
    }

    /** Returns whether the request is in flight. */
    boolean contains(PendingRequest request) {
        Set<PendingRequest> requests = bySession.get(request.session);
        return requests != null && requests.contains(request);
    }

    /** Removes and returns all requests of a session whose connection has closed. */
    Set<PendingRequest> removeAll(NbdSession session) {
        Set<PendingRequest> removed = bySession.remove(session);
        return removed == null ? Set.of() : removed;
    }

    /** Removes a request that has its result, and sends its reply. */
    void complete(PendingRequest request) {
        if (mustWait.test(request)) {
            return;
        }
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

    /** Begins the graceful shutdown; runs the callback once no request is in flight. */
    void stop(Runnable whenEmpty) {
        this.stopping = true;
        this.whenEmpty = whenEmpty;
        notifyIfEmpty();
    }

    /** Returns whether the graceful shutdown has begun, so that new requests are refused. */
    boolean isStopping() {
        return stopping;
    }

    /** Runs the shutdown callback, at most once, if no request is in flight. */
    void notifyIfEmpty() {
        if (stopping && whenEmpty != null && bySession.isEmpty()) {
            Runnable callback = whenEmpty;
            whenEmpty = null;
            callback.run();
        }
    }
}
