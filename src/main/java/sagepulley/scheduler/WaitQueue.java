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

/** One queue of operations in the order in which they came, with access by group and by extent. */
final class WaitQueue {
    private static final Comparator<QueuedRequest> BY_DEADLINE =
            Comparator.comparingDouble((QueuedRequest request) -> request.operation.deadline)
                    .thenComparingLong(request -> request.sequence);

    /**
     * What the scheduler cannot tell apart but by deadline. An operation that had an attempt, or
     * keeps the order of a key, is alone in its group by its sequence number; others have 0 there.
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

        // Written out, as a record's own methods are linked at first use, which slows the start.
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
        groups.computeIfAbsent(request.groupKey, any -> new TreeSet<>(BY_DEADLINE)).add(request);
        if (request.operation.extent != 0) {
            byExtent.computeIfAbsent(request.operation.extent, any -> new TreeMap<>())
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

    /** The groups in the order in which they came, each sorted by deadline. */
    Collection<NavigableSet<QueuedRequest>> groups() {
        return groups.values();
    }

    /** The operations of an extent in the order in which they came; none for extent 0. */
    Collection<Operation> operationsOfExtent(long extent) {
        TreeMap<Long, Operation> sameExtent = byExtent.get(extent);
        return sameExtent == null ? List.of() : sameExtent.values();
    }

    /** All operations in the order in which they came, as a copy. */
    List<Operation> copyInOrder() {
        return new ArrayList<>(bySequence.values());
    }
}
