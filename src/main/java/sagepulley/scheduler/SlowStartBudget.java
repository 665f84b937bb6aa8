package sagepulley.scheduler;

import sagepulley.model.Deployment;
import sagepulley.model.Operation;
import sagepulley.model.ServicePolicy;

/**
 * What an endpoint gets while it warms up after its start: only first attempts, and of those a part
 * by a draw that each operation keeps, the same at every gateway. All shares together are at most
 * what the endpoint serves when warm, so the part that may pass is the multiple of what it serves
 * now on the even ramp (the slowest allowed, at the start of the rule's window), less a margin. It
 * needs no count of gateways, of what they sent or of what was sent before our own start. Times are
 * milliseconds.
 */
final class SlowStartBudget {
    /** The part of what a warming endpoint bears that is asked of it. */
    private static final double SAFETY_FRACTION = 0.8;

    /** The cap on one gateway, in usual parts: a surge must not follow the draw all the way. */
    private static final double MAX_BURST_FACTOR = 2;

    private static final double RECHECK_MILLIS = 20;

    private final Deployment deployment;
    private final ServicePolicy policy;
    private final WakeUpTime wakeUp;
    private double startedAt;
    private double servedUnits;

    SlowStartBudget(Deployment deployment, WakeUpTime wakeUp) {
        this.deployment = deployment;
        this.policy = deployment.policy();
        this.wakeUp = wakeUp;
    }

    /** The gateway has got its first endpoint list. */
    void onGatewayStarted(double now) {
        startedAt = now;
    }

    /** Counts units that any endpoint has served. */
    void onServed(double units) {
        servedUnits += units;
    }

    /** Whether an endpoint is warming up. */
    boolean isWarmingUp(EndpointState endpoint, double now) {
        return endpoint.isInSlowStart(now, policy.slowStartTime());
    }

    /** Whether the operation's draw and the budget let it go to an endpoint that warms up. */
    boolean allows(Operation operation, EndpointState endpoint, int endpointCount, double now) {
        double age = now - endpoint.startedAt;
        double ramp =
                policy.slowStartShare()
                        + (1 - policy.slowStartShare())
                                * Math.max(0, age - policy.overloadWindow())
                                / policy.slowStartTime();
        double fraction = Math.min(1, SAFETY_FRACTION * policy.overloadMultiple() * ramp);
        if (QueuedRequest.of(operation).slowStartDraw > fraction) {
            wakeUp.noLaterThan(now + RECHECK_MILLIS);
            return false;
        }
        double windows = Math.max(1, (now - startedAt) / policy.overloadWindow());
        double averageUnits = servedUnits / windows / endpointCount;
        double spent = endpoint.slowStartSpent.sumOverestimate(now);
        return operation.attempts.isEmpty()
                && spent + operation.units
                        <= Math.max(deployment.maxUnits(), MAX_BURST_FACTOR * fraction * averageUnits);
    }
}
