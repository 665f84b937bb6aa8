package sagepulley.scheduler;

import sagepulley.membership.EndpointLease;
import sagepulley.model.Attempt;
import sagepulley.model.Deployment;
import sagepulley.model.Node;
import sagepulley.model.Operation;

/**
 * Checks the service rules that every attempt must keep, whatever the other classes of this package
 * prefer. Times are milliseconds.
 */
final class DispatchRules {
    /** The answer must leave the gateway by the deadline, and the clock advances in ticks. */
    private static final double DEADLINE_MARGIN_TICKS = 1.5;

    private final Deployment deployment;
    private final EndpointLease lease;
    private final EndpointTable endpoints;
    private final RetryBudget retryBudget;
    private final SlowStartBudget slowStart;
    private final KeyOrdering keyOrdering;
    private final QuotaTracker quota;
    private final RetryPolicy retryPolicy;
    private final double deadlineMargin;

    DispatchRules(
            Deployment deployment,
            EndpointLease lease,
            EndpointTable endpoints,
            RetryBudget retryBudget,
            SlowStartBudget slowStart,
            KeyOrdering keyOrdering,
            QuotaTracker quota) {
        this.deployment = deployment;
        this.lease = lease;
        this.endpoints = endpoints;
        this.retryBudget = retryBudget;
        this.slowStart = slowStart;
        this.keyOrdering = keyOrdering;
        this.quota = quota;
        this.deadlineMargin = DEADLINE_MARGIN_TICKS * deployment.tick();
        this.retryPolicy = new RetryPolicy(deployment.policy(), deadlineMargin);
    }

    /** Returns the time before an operation's deadline in which no attempt is sent. */
    double deadlineMargin() {
        return deadlineMargin;
    }

    RetryPolicy retryPolicy() {
        return retryPolicy;
    }

    /** Returns whether the operation's deadline is too close for another attempt. */
    boolean isPastDeadline(Operation operation, double now) {
        return now >= operation.deadline - deadlineMargin;
    }

    /** Returns whether the order of the operation's key allows it to start now. */
    boolean isFirstOfKey(Operation operation, double now) {
        return keyOrdering.isFirstOfKey(operation, now);
    }

    /** Returns whether the operation may be sent to the endpoint now. */
    boolean isAllowed(Operation operation, EndpointState endpoint, double now) {
        if (operation.ended || isPastDeadline(operation, now)) {
            return false;
        }
        if (!isUsable(endpoint.node, now) || !holdsCell(endpoint, operation)) {
            return false;
        }
        boolean isRetry = !operation.attempts.isEmpty();
        if (isRetry && !allowsRetry(operation, endpoint, now)) {
            return false;
        }
        return fitsSlowStart(operation, endpoint, now)
                && keyOrdering.isFirstOfKey(operation, now)
                && (isRetry || fitsLimit(operation, now));
    }

    /**
     * Returns whether an endpoint may get new attempts: the lease on the endpoint list holds, and
     * the endpoint is neither draining nor removed. Without the lease, it may be draining or
     * removed although the cached list shows it as ready.
     */
    private boolean isUsable(Node node, double now) {
        return lease.holds(now) && node.phase == Node.Phase.READY;
    }

    private static boolean holdsCell(EndpointState endpoint, Operation operation) {
        return operation.shard < 0 || operation.shard == endpoint.node.cell;
    }

    private boolean allowsRetry(Operation operation, EndpointState endpoint, double now) {
        return retryPolicy.allowsAnotherAttempt(operation, endpoint.node, now)
                && retryBudget.allowsRetry(now);
    }

    /**
     * Returns whether an endpoint is warm, or its slow-start budget admits the operation and the
     * operation is within its volume's reservation or share.
     */
    boolean fitsSlowStart(Operation operation, EndpointState endpoint, double now) {
        return !slowStart.isWarmingUp(endpoint, now)
                || (slowStart.allows(operation, endpoint, endpoints.size(), now)
                        && quota.weightFraction(operation.volume, operation.units, endpoint, now)
                                >= deployment.shareWeightFraction());
    }

    /** Returns whether the operation fits into this gateway's part of its volume's rate limit. */
    boolean fitsLimit(Operation operation, double now) {
        return operation.units <= quota.limitRemaining(operation.volume, now);
    }

    /**
     * Returns whether an attempt of which nothing has reached its endpoint yet may start there now.
     */
    boolean mayStart(Attempt attempt, double now) {
        Operation operation = attempt.operation;
        return !operation.ended
                && !isPastDeadline(operation, now)
                && isUsable(attempt.node, now)
                && retryPolicy.mayRepeat(operation, attempt.node, attempt, now);
    }
}
