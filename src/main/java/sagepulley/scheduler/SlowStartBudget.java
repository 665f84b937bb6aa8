package sagepulley.scheduler;

import sagepulley.model.Deployment;
import sagepulley.model.Operation;
import sagepulley.model.ServicePolicy;

/**
 * Limits what is sent to an endpoint in slow start: only first attempts, and of those the fraction
 * whose random draw, fixed per operation, is low enough.
 *
 * <p>All gateways together are assumed to send an endpoint at most what it serves when warm. The
 * fraction is therefore the overload multiple times the part of its full capacity that the endpoint
 * has on a linear ramp at the start of the current overload window, less a margin. The linear ramp
 * is the slowest that the service rules allow. The fraction does not depend on the number of
 * gateways or on earlier traffic, also not on what was sent before this gateway started. A cap on
 * the units sent limits surges. Times are milliseconds.
 */
final class SlowStartBudget {
    /** The fraction of the load allowed by the policy that is used. */
    private static final double SAFETY_FRACTION = 0.8;

    /**
     * The cap on the units sent in a window, as a multiple of the average that the fraction admits.
     */
    private static final double MAX_BURST_FACTOR = 2;

    private static final double RECHECK_MILLIS = 20;

    private final Deployment deployment;
    private final ServicePolicy policy;
    private final WakeUpTime wakeUp;
    private double gatewayStartedAt;

    /** Units served by all endpoints since this gateway started. */
    private double servedUnits;

    SlowStartBudget(Deployment deployment, WakeUpTime wakeUp) {
        this.deployment = deployment;
        this.policy = deployment.policy();
        this.wakeUp = wakeUp;
    }

    /** Records the time of the first endpoint list. */
    void onGatewayStarted(double now) {
        gatewayStartedAt = now;
    }

    /** Counts units served by any endpoint. */
    void onServed(double units) {
        servedUnits += units;
    }

    /** Returns whether an endpoint is warming up. */
    boolean isWarmingUp(EndpointState endpoint, double now) {
        return endpoint.isInSlowStart(now, policy.slowStartTime());
    }

    /**
     * Returns whether an operation may be sent to an endpoint in slow start, by its draw and the
     * budget.
     */
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
        double windows = Math.max(1, (now - gatewayStartedAt) / policy.overloadWindow());
        double averageUnits = servedUnits / windows / endpointCount;
        double recentUnits = endpoint.recentlySentUnits.sumOverestimate(now);
        return operation.attempts.isEmpty()
                && recentUnits + operation.units
                        <= Math.max(
                                deployment.maxUnits(), MAX_BURST_FACTOR * fraction * averageUnits);
    }
}
