package sagepulley.scheduler;

import sagepulley.model.Attempt;
import sagepulley.model.Node;
import sagepulley.model.Operation;
import sagepulley.model.ServicePolicy;
import sagepulley.model.TrafficClass;

/**
 * Whether an operation may be executed another time: by its idempotency, by the endpoints that
 * recognise a duplicate of it, and by the number of attempts. It has no state; the retry budget is
 * counted by {@link RetryBudget}.
 */
final class RetryPolicy {
    /** Retries beyond the first attempt; the deployment may allow fewer. */
    private static final int MAX_RETRIES = 2;

    private final ServicePolicy policy;
    private final double deadlineMarginMillis;

    RetryPolicy(ServicePolicy policy, double deadlineMarginMillis) {
        this.policy = policy;
        this.deadlineMarginMillis = deadlineMarginMillis;
    }

    /** Whether the deployment's rules allow one more attempt at this endpoint. */
    boolean allowsAnotherAttempt(Operation operation, Node node, double now) {
        return mayRepeat(operation, node, null, now)
                && operation.attempts.size() < policy.maxAttempts()
                && (policy.hedgingAllowed() || !operation.isInFlight());
    }

    /** Whether an operation has attempts left of those that this gateway makes by itself. */
    boolean hasAttemptsLeft(Operation operation) {
        return operation.attempts.size() < Math.min(MAX_RETRIES + 1, policy.maxAttempts());
    }

    /**
     * Whether an attempt at the endpoint can have no effect twice, whatever the other attempts did.
     *
     * @param excluded the attempt that is asked about, if it was already made; may be null
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

    /** Whether the operation may be rejected, which promises that a client's retry does no harm. */
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
