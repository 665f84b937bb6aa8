package sagepulley.frontend.nbd;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Parts in flight, grouped by the key of their extent. Not thread-safe. */
final class PartsByExtent {
    private final Map<Long, Set<RequestPart>> parts = new HashMap<>();

    void add(RequestPart part) {
        parts.computeIfAbsent(part.operation.extent, added -> new HashSet<>()).add(part);
    }

    void remove(RequestPart part) {
        Set<RequestPart> sameExtent = parts.get(part.operation.extent);
        if (sameExtent != null && sameExtent.remove(part) && sameExtent.isEmpty()) {
            parts.remove(part.operation.extent);
        }
    }

    boolean contains(RequestPart part) {
        return parts.getOrDefault(part.operation.extent, Set.of()).contains(part);
    }

    /** Returns a copy of the parts of an extent. */
    List<RequestPart> of(long key) {
        return List.copyOf(parts.getOrDefault(key, Set.of()));
    }

    /** Removes and returns the parts of an extent. */
    Set<RequestPart> removeAll(long key) {
        Set<RequestPart> removed = parts.remove(key);
        return removed == null ? Set.of() : removed;
    }

    /** Returns a copy of the keys of all extents that have parts. */
    List<Long> extents() {
        return List.copyOf(parts.keySet());
    }
}
