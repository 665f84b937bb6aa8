package sagepulley.scheduler;

import java.util.ArrayList;
import java.util.List;
import sagepulley.model.Operation;

/** The operations on one key in the order of their arrival; owned by {@link KeyOrdering}. */
final class KeyQueue {
    final List<Operation> operations = new ArrayList<>(2);

    /** The time up to which no operation of the key starts, in milliseconds. */
    double idleUntil = Double.NEGATIVE_INFINITY;
}
