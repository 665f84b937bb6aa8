package sagepulley.scheduler;

import sagepulley.model.Node;
import sagepulley.model.Operation;
import sagepulley.model.Reason;

/** Why an operation waits, for whoever accounts for it; nothing is decided by it. */
public final class WaitExplainer {
    private WaitExplainer() {}

    /** The first of Control's guards that holds it back now. */
    public static Reason why(Scheduler control, Operation operation, double now) {
        if (!control.lease.holds(now)) {
            return Reason.NO_LEASE;
        }
        EndpointState seat = ((QueuedRequest) operation.kept).seat;
        if (seat == null) {
            return operation.shard < 0 ? Reason.SHARE_FULL : Reason.NO_NODE;
        }
        if (seat.node.standing != Node.Phase.READY) {
            return Reason.NOT_READY;
        }
        if (control.silent(seat, now)) {
            return Reason.SILENT;
        }
        if (!control.isFirstOfKey(operation, now)) {
            return Reason.ORDER;
        }
        if (!control.borne(operation, seat, now)) {
            return Reason.COLD;
        }
        boolean first = operation.attempts.isEmpty();
        if (first && operation.units > control.limitRoom(operation.volume, now)) {
            return Reason.LIMIT;
        }
        if (!control.lawful(operation, seat, now)) {
            return Reason.BUDGET;
        }
        if (control.holdsBack(operation, seat, now)) {
            return Reason.HELD_BACK;
        }
        if (control.hasRoom(seat, now)) {
            return Reason.RANKS_LATER;
        }
        return control.owed(operation, seat, now).full();
    }
}
