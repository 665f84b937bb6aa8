package sagepulley.standin;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers the deduplicated operations that a node executed recently, so that a retry is not
 * executed again.
 */
final class ExecutedOperations {
    private static final int MAX_ENTRIES = 100_000;

    private record OperationKey(long gateway, long number) {}

    private final Map<OperationKey, Boolean> executed =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1;

                @Override
                protected boolean removeEldestEntry(Map.Entry<OperationKey, Boolean> oldest) {
                    return size() > MAX_ENTRIES;
                }
            };

    /** Records an operation of a gateway; returns false if it was already recorded. */
    boolean add(long gateway, long number) {
        return executed.put(new OperationKey(gateway, number), true) == null;
    }
}
