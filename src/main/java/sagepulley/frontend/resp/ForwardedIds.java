package sagepulley.frontend.resp;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers the ids of operations that were forwarded and must not be executed twice, the latest up
 * to a limit. An id that comes again, for instance behind the close of its client's connection,
 * would be executed a second time.
 */
final class ForwardedIds {
    private static final int MAX_IDS = 4_096;

    private final Map<Long, Boolean> ids =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                    return size() > MAX_IDS;
                }
            };

    /** Records an id. */
    void add(long id) {
        ids.put(id, true);
    }

    /** Returns whether an id was recorded and not displaced since. */
    boolean contains(long id) {
        return ids.containsKey(id);
    }
}
