package sagepulley.scheduler;

import sagepulley.model.Node;
import sagepulley.model.Operation;
import sagepulley.model.Reason;

/** Determines why an operation waits, for accounts and tracing; no decision depends on it. */
public final class WaitExplainer {
    private WaitExplainer() {}

    /** Returns the first reason that applies to an operation that waits now. */
    public static Reason reasonFor(Scheduler scheduler, Operation operation, double now) {
        if (!scheduler.lease.holds(now)) {
            return Reason.NO_LEASE;
        }
        EndpointState endpoint = QueuedRequest.of(operation).endpoint;
        if (endpoint == null) {
            return reasonWithoutEndpoint(scheduler, operation, now);
        }
        if (endpoint.node.phase != Node.Phase.READY) {
            return Reason.NOT_READY;
        }
        if (scheduler.outliers.isUnresponsive(endpoint, now)) {
            return Reason.UNRESPONSIVE;
        }
        if (!scheduler.keyOrdering.isFirstOfKey(operation, now)) {
            return Reason.KEY_ORDER;
        }
        if (!scheduler.rules.fitsSlowStart(operation, endpoint, now)) {
            return Reason.WARMING_UP;
        }
        if (operation.attempts.isEmpty() && !scheduler.rules.fitsLimit(operation, now)) {
            return Reason.LIMIT;
        }
        // Besides the end and the deadline of the operation, only rules on retries are left.
        if (!scheduler.rules.isAllowed(operation, endpoint, now)) {
            return Reason.RETRY_BUDGET;
        }
        if (scheduler.admission.isHeldBack(operation, endpoint, now)) {
            return Reason.QUEUE_AT_NODE;
        }
        if (scheduler.concurrency.hasCapacity(endpoint, now)) {
            return Reason.LOWER_PRIORITY;
        }
        return scheduler.quota.tier(operation, endpoint, now).fullReason();
    }

    private static Reason reasonWithoutEndpoint(
            Scheduler scheduler, Operation operation, double now) {
        if (operation.shard < 0) {
            return Reason.SHARE_FULL;
        }
        return scheduler.keyOrdering.isFirstOfKey(operation, now)
                ? Reason.NO_NODE
                : Reason.KEY_ORDER;
    }
}
