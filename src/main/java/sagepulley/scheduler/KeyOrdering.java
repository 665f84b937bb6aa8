package sagepulley.scheduler;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import sagepulley.model.Attempt;
import sagepulley.model.Operation;
import sagepulley.model.Outcome;

/**
 * Runs operations on one key one at a time in the order of their arrival, for traffic classes that
 * require it. After an attempt whose effect is unknown, the key stays idle for a while before its
 * next operation starts.
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

    KeyOrdering(double idleMillis, double tickMillis, WakeUpTime wakeUp) {
        this.idleMillis = idleMillis;
        this.tickMillis = tickMillis;
        this.wakeUp = wakeUp;
    }

    /**
     * Adds an arrived operation to the end of its key's queue, if its traffic class is ordered and
     * it has an extent.
     */
    void onArrival(QueuedRequest request, double now) {
        Operation operation = request.operation;
        if (operation.trafficClass.ordered() && operation.extent != 0) {
            removeEmpty(now);
            request.keyQueue = queues.computeIfAbsent(operation.extent, KeyQueue::new);
            request.keyQueue.operations.add(operation);
        }
    }

    /** Removes queues that no longer differ from new ones. */
    private void removeEmpty(double now) {
        for (int i = 0; i < MAX_REMOVED_PER_ARRIVAL && !empty.isEmpty(); i++) {
            KeyQueue queue = empty.peek();
            if (queue.operations.isEmpty() && now <= queue.idleUntil) {
                return;
            }
            empty.poll();
            queue.listedAsEmpty = false;
            if (queue.operations.isEmpty()) {
                queues.remove(queue.key);
            }
        }
    }

    /**
     * Returns whether the operation is the first of its key and, before its first attempt, whether
     * the key's idle time is over.
     */
    boolean isFirstOfKey(Operation operation, double now) {
        KeyQueue queue = QueuedRequest.of(operation).keyQueue;
        if (queue == null) {
            return true;
        }
        if (queue.operations.get(0) != operation) {
            return false;
        }
        if (operation.attempts.isEmpty() && now <= queue.idleUntil) {
            wakeUp.noLaterThan(queue.idleUntil + tickMillis);
            return false;
        }
        return true;
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
        KeyQueue queue = QueuedRequest.of(operation).keyQueue;
        if (queue != null && !operation.isInFlight()) {
            queue.operations.remove(operation);
            if (queue.operations.isEmpty() && !queue.listedAsEmpty) {
                queue.listedAsEmpty = true;
                empty.add(queue);
            }
        }
    }
}
