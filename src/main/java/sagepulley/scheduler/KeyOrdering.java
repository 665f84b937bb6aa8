package sagepulley.scheduler;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import sagepulley.model.Attempt;
import sagepulley.model.Operation;
import sagepulley.model.Outcome;

/**
 * Runs operations on one key one at a time in the order in which their requests arrived, for
 * traffic classes that require it. After an attempt whose effect is unknown, the key stays idle for
 * a while before its next operation starts.
 *
 * <p>An operation takes its place at its arrival and keeps it until it has ended and none of its
 * attempts is in flight, whatever ends it. A request whose operations arrive later reserves their
 * places at its own arrival.
 */
final class KeyOrdering {
    /** Queues examined at each arrival, which adds one at most. */
    private static final int MAX_REMOVED_PER_ARRIVAL = 2;

    private final double idleMillis;
    private final double tickMillis;
    private final WakeUpTime wakeUp;
    private final Map<Long, KeyQueue> queues = new HashMap<>();

    /** Queues that became empty, in that order; they are removed once their idle time is over. */
    private final Queue<KeyQueue> empty = new ArrayDeque<>();

    /** Requests with operations that have not arrived yet, in the order of their positions. */
    private final List<KeyReservation> reservations = new ArrayList<>();

    /** Queues whose first operation is to be reported once it may start. */
    private final Set<KeyQueue> queuesToReport = new LinkedHashSet<>();

    private long lastPosition;

    KeyOrdering(double idleMillis, double tickMillis, WakeUpTime wakeUp) {
        this.idleMillis = idleMillis;
        this.tickMillis = tickMillis;
        this.wakeUp = wakeUp;
    }

    /** Reserves places for a request's operations, one on each of the keys. */
    KeyReservation reserve(long firstKey, long lastKey) {
        KeyReservation reservation = new KeyReservation(++lastPosition, firstKey, lastKey);
        reservations.add(reservation);
        return reservation;
    }

    /** Gives up the places of operations that will not arrive. */
    void release(KeyReservation reservation) {
        reservations.remove(reservation);
    }

    /**
     * Adds an arrived operation to its key's queue, if its traffic class is ordered and it has an
     * extent.
     *
     * @param reservation the places of the operation's request; null if it has none
     */
    void onArrival(QueuedRequest request, KeyReservation reservation, double now) {
        Operation operation = request.operation;
        if (!operation.trafficClass.ordered() || operation.extent == 0) {
            return;
        }
        removeEmpty(now);
        request.keyQueue = queues.computeIfAbsent(operation.extent, KeyQueue::new);
        request.keyPosition = reservation == null ? ++lastPosition : reservation.position;
        request.keyQueue.add(request);
        reportFirst(request.keyQueue);
        if (reservation != null) {
            reservation.onArrival(operation.extent);
            if (reservation.isUsedUp()) {
                release(reservation);
            }
        }
    }

    /** Removes queues that no longer differ from new ones. */
    private void removeEmpty(double now) {
        for (int i = 0; i < MAX_REMOVED_PER_ARRIVAL && !empty.isEmpty(); i++) {
            KeyQueue queue = empty.peek();
            if (queue.isEmpty() && now <= queue.idleUntil) {
                return;
            }
            empty.poll();
            queue.listedAsEmpty = false;
            if (queue.isEmpty()) {
                queues.remove(queue.key);
            }
        }
    }

    /**
     * Returns whether the operation is the first of its key and, before its first attempt, whether
     * the key's idle time is over.
     */
    boolean isFirstOfKey(Operation operation, double now) {
        QueuedRequest request = QueuedRequest.of(operation);
        KeyQueue queue = request.keyQueue;
        if (queue == null) {
            return true;
        }
        if (queue.first() != request || isReservedBefore(request)) {
            return false;
        }
        if (operation.attempts.isEmpty() && now <= queue.idleUntil) {
            wakeUp.noLaterThan(queue.idleUntil + tickMillis);
            return false;
        }
        return true;
    }

    private boolean isReservedBefore(QueuedRequest request) {
        for (KeyReservation reservation : reservations) {
            if (reservation.position >= request.keyPosition) {
                return false;
            }
            if (reservation.covers(request.keyQueue.key)) {
                return true;
            }
        }
        return false;
    }

    /** Reports the operation by {@link #takeFirst} once it is the first of its key. */
    void reportOnceFirst(Operation operation) {
        QueuedRequest request = QueuedRequest.of(operation);
        request.reportOnceFirst = true;
        reportFirst(request.keyQueue);
    }

    private void reportFirst(KeyQueue queue) {
        if (!queue.isEmpty() && queue.first().reportOnceFirst) {
            queuesToReport.add(queue);
        } else if (!queuesToReport.isEmpty()) {
            queuesToReport.remove(queue);
        }
    }

    /**
     * Removes and returns the operations to report that are the first of their keys now. Records in
     * wakeUp when the idle time of another one ends.
     */
    List<Operation> takeFirst(double now) {
        if (queuesToReport.isEmpty()) {
            return List.of();
        }
        List<Operation> first = new ArrayList<>();
        for (Iterator<KeyQueue> queue = queuesToReport.iterator(); queue.hasNext(); ) {
            QueuedRequest request = queue.next().first();
            if (isFirstOfKey(request.operation, now)) {
                request.reportOnceFirst = false;
                queue.remove();
                first.add(request.operation);
            }
        }
        return first;
    }

    /** Starts the key's idle time after an attempt that may still take effect at its endpoint. */
    void onAttemptEnded(Attempt attempt, double now) {
        KeyQueue queue = QueuedRequest.of(attempt.operation).keyQueue;
        if (queue != null && mayStillTakeEffect(attempt.outcome)) {
            queue.idleUntil = now + idleMillis;
        }
    }

    private static boolean mayStillTakeEffect(Outcome outcome) {
        return outcome == Outcome.TIMED_OUT
                || outcome == Outcome.RESET
                || outcome == Outcome.CANCELLED;
    }

    /** Removes an ended operation from its key's queue, unless an attempt is still in flight. */
    void onOperationEnded(Operation operation) {
        QueuedRequest request = QueuedRequest.of(operation);
        KeyQueue queue = request.keyQueue;
        if (queue == null || operation.isInFlight()) {
            return;
        }
        request.keyQueue = null;
        queue.remove(request);
        reportFirst(queue);
        if (queue.isEmpty() && !queue.listedAsEmpty) {
            queue.listedAsEmpty = true;
            empty.add(queue);
        }
    }
}
