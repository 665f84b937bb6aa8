package sagepulley.standin;

import java.util.LinkedHashMap;
import java.util.Map;

/** The deduplicated operations that a node executed lately, so that a retry has no effect twice. */
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

    /** Remembers an operation of a gateway; false if it is known to have been executed. */
    boolean add(long gateway, long number) {
        return executed.put(new OperationKey(gateway, number), true) == null;
    }
}
