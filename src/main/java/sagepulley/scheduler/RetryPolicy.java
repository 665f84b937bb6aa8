package sagepulley.scheduler;

import sagepulley.model.Attempt;
import sagepulley.model.Node;
import sagepulley.model.Operation;
import sagepulley.model.ServicePolicy;
import sagepulley.model.TrafficClass;

/**
 * Decides whether an operation may be executed again, by its idempotency, by the nodes that
 * recognise a duplicate of it, and by the number of its attempts. Stateless; retries are counted by
 * {@link RetryBudget}.
 */
final class RetryPolicy {
    /** The maximum number of retries of an operation; the deployment may allow fewer. */
    private static final int MAX_RETRIES = 2;

    private final ServicePolicy policy;
    private final double deadlineMarginMillis;

    RetryPolicy(ServicePolicy policy, double deadlineMarginMillis) {
        this.policy = policy;
        this.deadlineMarginMillis = deadlineMarginMillis;
    }

    /** Returns whether the service policy allows another attempt of the operation at a node. */
    boolean allowsAnotherAttempt(Operation operation, Node node, double now) {
        return mayRepeat(operation, node, null, now)
                && operation.attempts.size() < policy.maxAttempts()
                && (policy.hedgingAllowed() || !operation.isInFlight());
    }

    /** Returns whether an operation has had fewer attempts than this gateway may make. */
    boolean hasAttemptsLeft(Operation operation) {
        return operation.attempts.size() < Math.min(MAX_RETRIES + 1, policy.maxAttempts());
    }

    /**
     * Returns whether an attempt at a node cannot take effect twice, whatever the outcome of the
     * other attempts.
     *
     * @param excluded the attempt to be checked, if the operation already contains it; may be null
     */
    boolean mayRepeat(Operation operation, Node node, Attempt excluded, double now) {
        TrafficClass trafficClass = operation.trafficClass;
        if (trafficClass.idempotency() == TrafficClass.Idempotency.IDEMPOTENT) {
            return true;
        }
        for (Attempt attempt : operation.attempts) {
            if (attempt == excluded || provesNotExecuted(attempt)) {
                continue;
            }
            if (trafficClass.idempotency() == TrafficClass.Idempotency.NON_IDEMPOTENT
                    || !recognisesDuplicate(trafficClass, attempt, node, now)) {
                return false;
            }
        }
        return true;
    }

    private static boolean provesNotExecuted(Attempt attempt) {
        return attempt.outcome != null && attempt.outcome.provesNotExecuted;
    }

    private boolean recognisesDuplicate(
            TrafficClass trafficClass, Attempt earlier, Node node, double now) {
        boolean sameScope =
                switch (trafficClass.deduplicationScope()) {
                    case ALL -> true;
                    case ZONE -> earlier.node.zone == node.zone;
                    case CELL -> earlier.node.cell == node.cell;
                };
        return sameScope
                && !(now
                        > earlier.sentAt
                                + trafficClass.deduplicationWindow()
                                - deadlineMarginMillis);
    }

    /**
     * Returns whether the operation may be rejected, which tells the client that a retry is safe.
     */
    boolean mayReject(Operation operation) {
        TrafficClass trafficClass = operation.trafficClass;
        if (trafficClass.idempotency() == TrafficClass.Idempotency.IDEMPOTENT
                || (trafficClass.idempotency() == TrafficClass.Idempotency.DEDUPLICATED
                        && trafficClass.deduplicationScope()
                                == TrafficClass.DeduplicationScope.ALL)) {
            return true;
        }
        return operation.attempts.stream().allMatch(RetryPolicy::provesNotExecuted);
    }
}
