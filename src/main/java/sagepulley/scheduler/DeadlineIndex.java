package sagepulley.scheduler;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.DoubleConsumer;
import java.util.function.ToDoubleFunction;
import sagepulley.model.Operation;
import sagepulley.model.TrafficClass;

/**
 * Indexes all waiting operations by the times that may end their wait, so that overdue ones are
 * found without visiting the others.
 */
final class DeadlineIndex {
    /**
     * Orders operations by queue: those of the endpoints by index, new objects, then those without
     * an endpoint. Within a queue they are in the order in which they were queued.
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

    /**
     * Operations of one traffic class and size. Changes of the objective or the required service
     * time shift the end times of all of them alike, so the sort orders stay valid.
     */
    static final class Group {
        final TrafficClass trafficClass;
        final double units;
        final NavigableSet<QueuedRequest> byObjective = sorted(request -> request.objectiveEndsAt);
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

        /**
         * Adds the operations whose end time is reached to the overdue ones, and passes on the
         * first end time after now of an operation that is not overdue.
         */
        void collectOverdue(
                NavigableSet<QueuedRequest> order,
                ToDoubleFunction<QueuedRequest> endTime,
                double now,
                Set<Operation> overdue,
                DoubleConsumer nextEndTime) {
            for (QueuedRequest request : order) {
                double at = endTime.applyAsDouble(request);
                if (at <= now) {
                    overdue.add(request.operation);
                } else if (!overdue.contains(request.operation)) {
                    nextEndTime.accept(at);
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
        Group group =
                groups.computeIfAbsent(
                        key(operation), key -> new Group(operation.trafficClass, operation.units));
        group.byObjective.add(request);
        group.byArrival.add(request);
        group.byDeadline.add(request);
    }

    void remove(QueuedRequest request) {
        Key key = key(request.operation);
        Group group = groups.get(key);
        group.byObjective.remove(request);
        group.byArrival.remove(request);
        group.byDeadline.remove(request);
        if (group.byObjective.isEmpty()) {
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
