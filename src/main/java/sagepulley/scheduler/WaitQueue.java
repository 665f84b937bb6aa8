package sagepulley.scheduler;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeMap;
import java.util.TreeSet;
import sagepulley.model.Operation;

/**
 * Operations that wait in one place, in the order they came; those alike and those of an extent at
 * hand.
 */
final class WaitQueue {
    private static final Comparator<QueuedRequest> BY_PATIENCE =
            Comparator.comparingDouble((QueuedRequest request) -> request.operation.deadline)
                    .thenComparingLong(request -> request.turn);

    /**
     * Whoever had an attempt, or keeps an order, is like nobody else: its turn tells it apart;
     * others have 0.
     */
    private record GroupKey(long volume, int band, double units, long turn) {
        static GroupKey of(QueuedRequest request) {
            Operation operation = request.operation;
            boolean plain = operation.attempts.isEmpty() && request.line == null;
            return new GroupKey(
                    operation.volume.id,
                    operation.trafficClass.index(),
                    operation.units,
                    plain ? 0 : request.turn);
        }

        // Written out: what the compiler leaves to the start costs 25 ms of CPU there.
        @Override
        public int hashCode() {
            return (Long.hashCode(volume) * 31 + band) * 31
                    + Double.hashCode(units) * 17
                    + Long.hashCode(turn);
        }

        @Override
        public boolean equals(Object other) {
            return other instanceof GroupKey that
                    && volume == that.volume
                    && band == that.band
                    && units == that.units
                    && turn == that.turn;
        }
    }

    private final TreeMap<Long, Operation> all = new TreeMap<>();
    private final Map<GroupKey, NavigableSet<QueuedRequest>> alike = new LinkedHashMap<>();
    private final Map<Long, TreeMap<Long, Operation>> byExtent = new LinkedHashMap<>();

    int size() {
        return all.size();
    }

    boolean isEmpty() {
        return all.isEmpty();
    }

    void add(QueuedRequest request) {
        all.put(request.turn, request.operation);
        request.alike = GroupKey.of(request);
        alike.computeIfAbsent((GroupKey) request.alike, any -> new TreeSet<>(BY_PATIENCE))
                .add(request);
        if (request.operation.extent != 0) {
            byExtent.computeIfAbsent(request.operation.extent, any -> new TreeMap<>())
                    .put(request.turn, request.operation);
        }
    }

    void remove(QueuedRequest request) {
        all.remove(request.turn);
        NavigableSet<QueuedRequest> like = alike.get((GroupKey) request.alike);
        like.remove(request);
        if (like.isEmpty()) {
            alike.remove((GroupKey) request.alike);
        }
        TreeMap<Long, Operation> same = byExtent.get(request.operation.extent);
        if (same != null) {
            same.remove(request.turn);
            if (same.isEmpty()) {
                byExtent.remove(request.operation.extent);
            }
        }
    }

    /** Groups of those alike, each by deadline. */
    Collection<NavigableSet<QueuedRequest>> alike() {
        return alike.values();
    }

    /** Those of an extent, as they came; none for extent 0. */
    Collection<Operation> of(long extent) {
        TreeMap<Long, Operation> same = byExtent.get(extent);
        return same == null ? List.of() : same.values();
    }

    List<Operation> inOrder() {
        return new ArrayList<>(all.values());
    }
}
