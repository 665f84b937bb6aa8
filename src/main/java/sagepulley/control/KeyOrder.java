package sagepulley.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sagepulley.model.Operation;

/**
 * Per-key ordering, where a band asks for it: operations of one extent go out in the order taken,
 * one after the other, and after an attempt that may still run its key rests. Keys of which nothing
 * is in hand are forgotten once they have rested. Times are milliseconds.
 */
final class KeyOrder {
    /** The operations of one key, in the order taken. */
    static final class Key {
        private final long extent;
        private final List<Operation> operations = new ArrayList<>(2);
        private double restsUntil = Double.NEGATIVE_INFINITY;

        private Key(long extent) {
            this.extent = extent;
        }

        boolean isFirst(Operation operation) {
            return operations.get(0) == operation;
        }

        /** Until then no first attempt of its operations may begin. */
        double restsUntil() {
            return restsUntil;
        }
    }

    private final double rest;
    private final Map<Long, Key> keys = new HashMap<>();

    /** Keys that had no operation left at some time, the earliest first. */
    private final Deque<Key> emptied = new ArrayDeque<>();

    KeyOrder(double rest) {
        this.rest = rest;
    }

    /** The key of an operation that has just come. */
    Key enter(Operation operation, double now) {
        forgetRested(now);
        Key key = keys.computeIfAbsent(operation.extent, Key::new);
        key.operations.add(operation);
        return key;
    }

    /** An attempt at an operation of this key ended and may still run. */
    void rest(Key key, double now) {
        key.restsUntil = now + rest;
    }

    /** No attempt of the operation is out, and none will be. */
    void leave(Key key, Operation operation) {
        boolean wasThere = key.operations.remove(operation);
        if (wasThere && key.operations.isEmpty()) {
            emptied.add(key);
        }
    }

    private void forgetRested(double now) {
        while (!emptied.isEmpty()) {
            Key key = emptied.peek();
            boolean isEmpty = key.operations.isEmpty();
            if (isEmpty && now <= key.restsUntil) {
                return;
            }
            if (isEmpty) {
                keys.remove(key.extent, key);
            }
            emptied.remove();
        }
    }

    int size() {
        return keys.size();
    }
}
