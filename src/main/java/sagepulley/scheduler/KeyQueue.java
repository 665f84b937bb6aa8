package sagepulley.scheduler;

import java.util.ArrayList;
import java.util.List;
import sagepulley.model.Operation;

/** The operations on one key in the order of their arrival; owned by {@link KeyOrdering}. */
final class KeyQueue {
    final long key;
    final List<Operation> operations = new ArrayList<>(2);

    /** Whether the queue is listed among those that became empty. */
    boolean listedAsEmpty;

    /** The time up to which no operation of the key starts, in milliseconds. */
    double idleUntil = Double.NEGATIVE_INFINITY;

    KeyQueue(long key) {
        this.key = key;
    }
}
