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

/** A queue of operations in the order in which they were queued, indexed by group and by extent. */
final class WaitQueue {
    private static final Comparator<QueuedRequest> BY_DEADLINE =
            Comparator.comparingDouble((QueuedRequest request) -> request.operation.deadline)
                    .thenComparingLong(request -> request.sequence);

    /**
     * Identifies a group of operations that differ only in deadline and lateness. An operation that
     * was attempted or belongs to an ordered key forms a group of its own, identified by its
     * sequence number; the sequence number of all other groups is 0.
     */
    record GroupKey(long volume, int trafficClass, double units, long sequence) {
        static GroupKey of(QueuedRequest request) {
            Operation operation = request.operation;
            boolean interchangeable = operation.attempts.isEmpty() && request.keyQueue == null;
            return new GroupKey(
                    operation.volume.id,
                    operation.trafficClass.index(),
                    operation.units,
                    interchangeable ? 0 : request.sequence);
        }

        // Written out because generated record methods are linked at first use, which slows the
        // start.
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
        groups.computeIfAbsent(request.groupKey, key -> new TreeSet<>(BY_DEADLINE)).add(request);
        if (request.operation.extent != 0) {
            byExtent.computeIfAbsent(request.operation.extent, key -> new TreeMap<>())
                    .put(request.sequence, request.operation);
        }
    }

    void remove(QueuedRequest request) {
        bySequence.remove(request.sequence);
        NavigableSet<QueuedRequest> group = groups.get(request.groupKey);
        group.remove(request);
        if (group.isEmpty()) {
            groups.remove(request.groupKey);
        }
        TreeMap<Long, Operation> sameExtent = byExtent.get(request.operation.extent);
        if (sameExtent != null) {
            sameExtent.remove(request.sequence);
            if (sameExtent.isEmpty()) {
                byExtent.remove(request.operation.extent);
            }
        }
    }

    /** Returns the groups in the order of their creation, each sorted by deadline. */
    Collection<NavigableSet<QueuedRequest>> groups() {
        return groups.values();
    }

    /** Returns the operations of an extent in queue order; empty for extent 0. */
    Collection<Operation> operationsOfExtent(long extent) {
        TreeMap<Long, Operation> sameExtent = byExtent.get(extent);
        return sameExtent == null ? List.of() : sameExtent.values();
    }

    /** Returns a copy of all operations in queue order. */
    List<Operation> copyInOrder() {
        return new ArrayList<>(bySequence.values());
    }
}
