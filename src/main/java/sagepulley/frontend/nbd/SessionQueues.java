package sagepulley.frontend.nbd;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import sagepulley.codec.nbd.NbdConstants;
import sagepulley.engine.Clock;
import sagepulley.model.TrafficClass;
import sagepulley.transport.RoundRobinExecutor;

/**
 * Splits the requests of each session into parts and dispatches these, a limited number before
 * other sessions get their turn, and a limited number at once. Requests of one session take turns,
 * except in a traffic class that keeps order. What is not dispatched at its request's deadline is
 * rejected. Confined to the engine's event loop.
 */
final class SessionQueues {
    /** Parts that a session may have open. */
    private static final int MAX_OPEN_PARTS = 1_024;

    /** Parts that are dispatched before other sessions get their turn. */
    private static final int MAX_TURN_PARTS = 64;

    /** The same while other sessions wait for their turn. */
    private static final int MAX_TURN_PARTS_BESIDE_OTHERS = 1;

    /** Time before the deadline at which a request expires, so that its reply is in time. */
    private static final double REPLY_MILLIS = 2;

    private final EventLoop loop;
    private final Clock clock;
    private final RequestSplitter splitter;
    private final Consumer<RequestPart> dispatch;
    private final OperationDispatcher dispatcher;
    private final Consumer<PendingRequest> complete;
    private final RoundRobinExecutor turns;
    private final Map<NbdSession, SessionQueue> queues = new HashMap<>();

    /**
     * @param dispatch dispatches a part
     * @param complete completes a request without parts
     */
    SessionQueues(
            EventLoop loop,
            Clock clock,
            RequestSplitter splitter,
            Consumer<RequestPart> dispatch,
            OperationDispatcher dispatcher,
            Consumer<PendingRequest> complete) {
        this.loop = loop;
        this.clock = clock;
        this.splitter = splitter;
        this.dispatch = dispatch;
        this.dispatcher = dispatcher;
        this.complete = complete;
        this.turns = new RoundRobinExecutor(loop);
    }

    /** Adds a request that has bytes to split. */
    void add(PendingRequest request) {
        SessionQueue queue = queues.computeIfAbsent(request.session, SessionQueue::new);
        boolean isFirst = queue.waiting.isEmpty();
        queue.waiting.add(request);
        if (splitter.trafficClass(request).ordered()) {
            reserveOrder(request, isFirst);
        }
        if (isFirst) {
            queue.dispatch(turns.isBusy() ? MAX_TURN_PARTS_BESIDE_OTHERS : MAX_TURN_PARTS);
        }
        if (request.unsplitBytes > 0) {
            expireAtDeadline(request);
        }
    }

    /** Reserves the places of a request's parts unless its only part is dispatched at once. */
    private void reserveOrder(PendingRequest request, boolean isFirst) {
        long firstKey = splitter.firstKey(request);
        long lastKey = splitter.lastKey(request);
        if (!isFirst || firstKey != lastKey) {
            dispatcher.reserveOrder(request, firstKey, lastKey);
        }
    }

    /** Removes a request, none of whose further parts are to be dispatched. */
    void remove(PendingRequest request) {
        SessionQueue queue = queues.get(request.session);
        if (queue != null && request.unsplitBytes > 0) {
            queue.waiting.remove(request);
            dispatcher.releaseOrder(request);
        }
    }

    private void expireAtDeadline(PendingRequest request) {
        TrafficClass trafficClass = splitter.trafficClass(request);
        double remaining = request.arrivedAt + trafficClass.deadline() - clock.now();
        loop.schedule(
                () -> expire(request),
                (long) Math.max(0, remaining - REPLY_MILLIS),
                TimeUnit.MILLISECONDS);
    }

    private void expire(PendingRequest request) {
        if (request.unsplitBytes == 0) {
            return;
        }
        remove(request);
        request.addError(
                request.nextOffset,
                NbdConstants.ENOMEM,
                "rejected (late): not executed from here on, safe to retry");
        request.dropUnsplit();
        if (request.hasEnded()) {
            complete.accept(request);
        }
    }

    /** The requests of one session that have bytes to split, and its open parts. */
    private final class SessionQueue {
        final ArrayDeque<PendingRequest> waiting = new ArrayDeque<>(1);
        private final NbdSession session;
        private int openParts;
        private boolean turnRequested;
        private boolean dispatching;

        SessionQueue(NbdSession session) {
            this.session = session;
        }

        void dispatch(int maxParts) {
            dispatching = true;
            for (int i = 0; i < maxParts && !waiting.isEmpty() && openParts < MAX_OPEN_PARTS; i++) {
                PendingRequest first = waiting.peek();
                RequestPart part = splitter.next(first);
                if (first.unsplitBytes == 0) {
                    waiting.poll();
                }
                openParts++;
                part.onEnded = this::partEnded;
                dispatch.accept(part);
            }
            dispatching = false;
            rotate();
            requestTurn();
            removeIfUnused();
            dispatcher.scheduleTurn();
        }

        /** Puts the first request behind the others of its session. */
        private void rotate() {
            if (waiting.size() > 1 && !splitter.trafficClass(waiting.peek()).ordered()) {
                waiting.add(waiting.poll());
            }
        }

        private void partEnded() {
            openParts--;
            requestTurn();
            removeIfUnused();
        }

        private void removeIfUnused() {
            if (openParts == 0 && waiting.isEmpty() && !dispatching) {
                queues.remove(session, this);
            }
        }

        private void requestTurn() {
            if (!turnRequested
                    && !dispatching
                    && !waiting.isEmpty()
                    && openParts < MAX_OPEN_PARTS) {
                turnRequested = true;
                turns.add(this::runTurn);
            }
        }

        private void runTurn() {
            turnRequested = false;
            dispatch(MAX_TURN_PARTS);
        }
    }
}
