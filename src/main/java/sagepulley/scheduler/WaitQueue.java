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
    private static final Comparator<QueuedRequest> BY_DEADLINE =
            Comparator.comparingDouble((QueuedRequest request) -> request.operation.deadline)
                    .thenComparingLong(request -> request.sequence);

    /**
     * Whoever had an attempt, or keeps an order, is like nobody else: its turn tells it apart;
     * others have 0.
     */
    private record GroupKey(long volume, int trafficClass, double units, long sequence) {
        static GroupKey of(QueuedRequest request) {
            Operation operation = request.operation;
            boolean plain = operation.attempts.isEmpty() && request.keyQueue == null;
            return new GroupKey(
                    operation.volume.id,
                    operation.trafficClass.index(),
                    operation.units,
                    plain ? 0 : request.sequence);
        }

        // Written out: what the compiler leaves to the start costs 25 ms of CPU there.
        @Override
        public int hashCode() {
            return (Long.hashCode(volume) * 31 + trafficClass) * 31
                    + Double.hashCode(units) * 17
                    + Long.hashCode(sequence);
        }

        @Override
        public boolean equals(Object other) {
            return other instanceof GroupKey that
                    && volume == that.volume
                    && trafficClass == that.trafficClass
                    && units == that.units
                    && sequence == that.sequence;
        }
    }

    private final TreeMap<Long, Operation> bySequence = new TreeMap<>();
    private final Map<GroupKey, NavigableSet<QueuedRequest>> groups = new LinkedHashMap<>();
    private final Map<Long, TreeMap<Long, Operation>> byExtent = new LinkedHashMap<>();

    int size() {
        return bySequence.size();
    }

    boolean isEmpty() {
        return bySequence.isEmpty();
    }

    void add(QueuedRequest request) {
        bySequence.put(request.sequence, request.operation);
        request.groupKey = GroupKey.of(request);
        groups.computeIfAbsent((GroupKey) request.groupKey, any -> new TreeSet<>(BY_DEADLINE))
                .add(request);
        if (request.operation.extent != 0) {
            byExtent.computeIfAbsent(request.operation.extent, any -> new TreeMap<>())
                    .put(request.sequence, request.operation);
        }
    }

    void remove(QueuedRequest request) {
        bySequence.remove(request.sequence);
        NavigableSet<QueuedRequest> like = groups.get((GroupKey) request.groupKey);
        like.remove(request);
        if (like.isEmpty()) {
            groups.remove((GroupKey) request.groupKey);
        }
        TreeMap<Long, Operation> same = byExtent.get(request.operation.extent);
        if (same != null) {
            same.remove(request.sequence);
            if (same.isEmpty()) {
                byExtent.remove(request.operation.extent);
            }
        }
    }

    /** Groups of those alike, each by deadline. */
    Collection<NavigableSet<QueuedRequest>> groups() {
        return groups.values();
    }

    /** Those of an extent, as they came; none for extent 0. */
    Collection<Operation> ofExtent(long extent) {
        TreeMap<Long, Operation> same = byExtent.get(extent);
        return same == null ? List.of() : same.values();
    }

    List<Operation> inOrder() {
        return new ArrayList<>(bySequence.values());
    }
}
