package sagepulley.scheduler;

import sagepulley.model.Node;
import sagepulley.model.Operation;
import sagepulley.model.Reason;

/** Why an operation waits, for whoever accounts for it; nothing is decided by it. */
public final class WaitExplainer {
    private WaitExplainer() {}

    /** The first of Scheduler's guards that holds it back now. */
    public static Reason why(Scheduler control, Operation operation, double now) {
        if (!control.lease.holds(now)) {
            return Reason.NO_LEASE;
        }
        EndpointState seat = ((QueuedRequest) operation.schedulerState).seat;
        if (seat == null) {
            return operation.shard < 0 ? Reason.SHARE_FULL : Reason.NO_NODE;
        }
        if (seat.node.phase != Node.Phase.READY) {
            return Reason.NOT_READY;
        }
        if (control.isUnresponsive(seat, now)) {
            return Reason.UNRESPONSIVE;
        }
        if (!control.isFirstOfKey(operation, now)) {
            return Reason.KEY_ORDER;
        }
        if (!control.fitsSlowStart(operation, seat, now)) {
            return Reason.WARMING_UP;
        }
        boolean first = operation.attempts.isEmpty();
        if (first && operation.units > control.limitRemaining(operation.volume, now)) {
            return Reason.LIMIT;
        }
        if (!control.isAllowed(operation, seat, now)) {
            return Reason.RETRY_BUDGET;
        }
        if (control.isHeldBack(operation, seat, now)) {
            return Reason.QUEUE_AT_NODE;
        }
        if (control.hasCapacity(seat, now)) {
            return Reason.LOWER_PRIORITY;
        }
        return control.quotaTier(operation, seat, now).full();
    }
}
