package sagepulley.scheduler;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.DoubleConsumer;
import java.util.function.ToDoubleFunction;
import sagepulley.model.Band;
import sagepulley.model.Operation;

/**
 * All that waits, sorted by the times that may end it, so that what is due is found without a walk.
 */
final class Waits {
    /**
     * As the queues stand: the seats in their order, new objects, the homeless; in each as they
     * came.
     */
    static final Comparator<Operation> BY_QUEUE =
            Comparator.comparingInt(
                            (Operation operation) -> {
                                Ticket ticket = (Ticket) operation.kept;
                                return ticket.seat != null
                                        ? ticket.seat.index
                                        : operation.shard < 0
                                                ? Integer.MAX_VALUE - 1
                                                : Integer.MAX_VALUE;
                            })
                    .thenComparingLong(operation -> ((Ticket) operation.kept).turn);

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
    static final class Kind {
        final Band band;
        final double units;
        final TreeSet<Ticket> byTarget = sorted(ticket -> ticket.targetEnds);
        final TreeSet<Ticket> byArrival = sorted(ticket -> ticket.operation.arrivedAt);
        final TreeSet<Ticket> byPatience = sorted(ticket -> ticket.operation.deadline);

        Kind(Band band, double units) {
            this.band = band;
            this.units = units;
        }

        private static TreeSet<Ticket> sorted(ToDoubleFunction<Ticket> time) {
            return new TreeSet<>(
                    Comparator.comparingDouble(time).thenComparingLong(ticket -> ticket.turn));
        }

        /** Adds those that have ended by now, and tells when the next one ends. */
        void first(
                TreeSet<Ticket> order,
                ToDoubleFunction<Ticket> end,
                double now,
                List<Operation> ended,
                DoubleConsumer next) {
            for (Ticket ticket : order) {
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

    private final Map<Key, Kind> kinds = new HashMap<>();
    private long turns;

    void add(Ticket ticket) {
        ticket.turn = ++turns;
        Operation operation = ticket.operation;
        Kind kind =
                kinds.computeIfAbsent(
                        key(operation), any -> new Kind(operation.band, operation.units));
        kind.byTarget.add(ticket);
        kind.byArrival.add(ticket);
        kind.byPatience.add(ticket);
    }

    void remove(Ticket ticket) {
        Key key = key(ticket.operation);
        Kind kind = kinds.get(key);
        kind.byTarget.remove(ticket);
        kind.byArrival.remove(ticket);
        kind.byPatience.remove(ticket);
        if (kind.byTarget.isEmpty()) {
            kinds.remove(key);
        }
    }

    Collection<Kind> kinds() {
        return kinds.values();
    }

    private static Key key(Operation operation) {
        return new Key(operation.band.index(), operation.units);
    }
}
