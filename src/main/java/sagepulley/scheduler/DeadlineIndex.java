package sagepulley.scheduler;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeSet;
import java.util.function.DoubleConsumer;
import java.util.function.ToDoubleFunction;
import sagepulley.model.Operation;
import sagepulley.model.TrafficClass;

/**
 * All that waits, sorted by the times that may end it, so that what is due is found without a walk.
 */
final class DeadlineIndex {
    /**
     * As the queues stand: the seats in their order, new objects, the homeless; in each as they
     * came.
     */
    static final Comparator<Operation> BY_QUEUE =
            Comparator.comparingInt(
                            (Operation operation) -> {
                                QueuedRequest request = QueuedRequest.of(operation);
                                return request.endpoint != null
                                        ? request.endpoint.index
                                        : operation.shard < 0
                                                ? Integer.MAX_VALUE - 1
                                                : Integer.MAX_VALUE;
                            })
                    .thenComparingLong(operation -> QueuedRequest.of(operation).sequence);

    private record Key(int trafficClass, double units) {
        @Override
        public int hashCode() {
            return trafficClass * 31 + Double.hashCode(units);
        }

        @Override
        public boolean equals(Object other) {
            return other instanceof Key that
                    && trafficClass == that.trafficClass
                    && units == that.units;
        }
    }

    /** Operations of one band and size: whatever moves their ends moves all of them alike. */
    static final class Group {
        final TrafficClass trafficClass;
        final double units;
        final NavigableSet<QueuedRequest> byObjective = sorted(request -> request.objectiveAt);
        final NavigableSet<QueuedRequest> byArrival =
                sorted(request -> request.operation.arrivedAt);
        final NavigableSet<QueuedRequest> byDeadline =
                sorted(request -> request.operation.deadline);

        Group(TrafficClass trafficClass, double units) {
            this.trafficClass = trafficClass;
            this.units = units;
        }

        private static NavigableSet<QueuedRequest> sorted(ToDoubleFunction<QueuedRequest> time) {
            return new TreeSet<>(
                    Comparator.comparingDouble(time)
                            .thenComparingLong(request -> request.sequence));
        }

        /** Adds those that have ended by now, and tells when the next one ends. */
        void collectOverdue(
                NavigableSet<QueuedRequest> order,
                ToDoubleFunction<QueuedRequest> end,
                double now,
                List<Operation> ended,
                DoubleConsumer next) {
            for (QueuedRequest request : order) {
                double at = end.applyAsDouble(request);
                if (at <= now) {
                    if (!ended.contains(request.operation)) {
                        ended.add(request.operation);
                    }
                } else if (!ended.contains(request.operation)) {
                    next.accept(at);
                    return;
                }
            }
        }
    }

    private final Map<Key, Group> groups = new HashMap<>();
    private long lastSequence;

    void add(QueuedRequest request) {
        request.sequence = ++lastSequence;
        Operation operation = request.operation;
        Group kind =
                groups.computeIfAbsent(
                        key(operation), any -> new Group(operation.trafficClass, operation.units));
        kind.byObjective.add(request);
        kind.byArrival.add(request);
        kind.byDeadline.add(request);
    }

    void remove(QueuedRequest request) {
        Key key = key(request.operation);
        Group kind = groups.get(key);
        kind.byObjective.remove(request);
        kind.byArrival.remove(request);
        kind.byDeadline.remove(request);
        if (kind.byObjective.isEmpty()) {
            groups.remove(key);
        }
    }

    Collection<Group> groups() {
        return groups.values();
    }

    private static Key key(Operation operation) {
        return new Key(operation.trafficClass.index(), operation.units);
    }
}
