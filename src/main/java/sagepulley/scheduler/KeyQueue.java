package sagepulley.scheduler;

import java.util.ArrayList;
import java.util.List;
import sagepulley.model.Operation;

/** The operations of one key in the order in which they arrived; owned by {@link KeyOrdering}. */
final class KeyQueue {
    final List<Operation> operations = new ArrayList<>(2);

    /** Until when no operation of the key starts, in milliseconds. */
    double idleUntil = Double.NEGATIVE_INFINITY;
}
