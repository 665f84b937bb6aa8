package sagepulley.scheduler;

import java.util.ArrayList;
import java.util.List;

/** The operations on one key in the order of their positions; owned by {@link KeyOrdering}. */
final class KeyQueue {
    final long key;

    /** Whether the queue is listed among those that became empty. */
    boolean listedAsEmpty;

    /** The time up to which no operation of the key starts, in milliseconds. */
    double idleUntil = Double.NEGATIVE_INFINITY;

    private final List<QueuedRequest> requests = new ArrayList<>(2);

    KeyQueue(long key) {
        this.key = key;
    }

    boolean isEmpty() {
        return requests.isEmpty();
    }

    /** Returns the first operation of a queue that is not empty. */
    QueuedRequest first() {
        return requests.get(0);
    }

    /** Adds an operation behind those of earlier positions. */
    void add(QueuedRequest request) {
        int index = requests.size();
        while (index > 0 && requests.get(index - 1).keyPosition > request.keyPosition) {
            index--;
        }
        requests.add(index, request);
    }

    void remove(QueuedRequest request) {
        requests.remove(request);
    }
}
