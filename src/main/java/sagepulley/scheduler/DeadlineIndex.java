package sagepulley.scheduler;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
                                QueuedRequest ticket = (QueuedRequest) operation.schedulerState;
                                return ticket.seat != null
                                        ? ticket.seat.index
                                        : operation.shard < 0
                                                ? Integer.MAX_VALUE - 1
                                                : Integer.MAX_VALUE;
                            })
                    .thenComparingLong(
                            operation -> ((QueuedRequest) operation.schedulerState).turn);

    private record Key(int band, double units) {
        @Override
        public int hashCode() {
            return band * 31 + Double.hashCode(units);
        }

        @Override
        public boolean equals(Object other) {
            return other instanceof Key that && band == that.band && units == that.units;
        }
    }

    /** Operations of one band and size: whatever moves their ends moves all of them alike. */
    static final class Group {
        final TrafficClass band;
        final double units;
        final TreeSet<QueuedRequest> byTarget = sorted(ticket -> ticket.targetEnds);
        final TreeSet<QueuedRequest> byArrival = sorted(ticket -> ticket.operation.arrivedAt);
        final TreeSet<QueuedRequest> byPatience = sorted(ticket -> ticket.operation.deadline);

        Group(TrafficClass band, double units) {
            this.band = band;
            this.units = units;
        }

        private static TreeSet<QueuedRequest> sorted(ToDoubleFunction<QueuedRequest> time) {
            return new TreeSet<>(
                    Comparator.comparingDouble(time).thenComparingLong(ticket -> ticket.turn));
        }

        /** Adds those that have ended by now, and tells when the next one ends. */
        void first(
                TreeSet<QueuedRequest> order,
                ToDoubleFunction<QueuedRequest> end,
                double now,
                List<Operation> ended,
                DoubleConsumer next) {
            for (QueuedRequest ticket : order) {
                double at = end.applyAsDouble(ticket);
                if (at <= now) {
                    if (!ended.contains(ticket.operation)) {
                        ended.add(ticket.operation);
                    }
                } else if (!ended.contains(ticket.operation)) {
                    next.accept(at);
                    return;
                }
            }
        }
    }

    private final Map<Key, Group> kinds = new HashMap<>();
    private long turns;

    void add(QueuedRequest ticket) {
        ticket.turn = ++turns;
        Operation operation = ticket.operation;
        Group kind =
                kinds.computeIfAbsent(
                        key(operation), any -> new Group(operation.trafficClass, operation.units));
        kind.byTarget.add(ticket);
        kind.byArrival.add(ticket);
        kind.byPatience.add(ticket);
    }

    void remove(QueuedRequest ticket) {
        Key key = key(ticket.operation);
        Group kind = kinds.get(key);
        kind.byTarget.remove(ticket);
        kind.byArrival.remove(ticket);
        kind.byPatience.remove(ticket);
        if (kind.byTarget.isEmpty()) {
            kinds.remove(key);
        }
    }

    Collection<Group> kinds() {
        return kinds.values();
    }

    private static Key key(Operation operation) {
        return new Key(operation.trafficClass.index(), operation.units);
    }
}
