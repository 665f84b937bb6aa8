package sagepulley.scheduler;

import java.util.ArrayList;
import java.util.List;
import sagepulley.model.Operation;

/** Operations of one key, in the order taken, where a band asks for order. */
final class KeyQueue {
    final List<Operation> operations = new ArrayList<>(2);
    double idleUntil = Double.NEGATIVE_INFINITY;
}
