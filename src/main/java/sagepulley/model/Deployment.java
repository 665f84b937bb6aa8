package sagepulley.model;

import java.util.List;

/**
 * The settings of a gateway's deployment, which it reads at its start. Times are milliseconds,
 * rates are units a second. Within notifiedWithin a change of the endpoint list counts as notified,
 * arrived or not; it is infinite where changes cannot be missed.
 */
public record Deployment(
        int gatewayIndex,
        int gatewayCount,
        int zone,
        List<TrafficClass> trafficClasses,
        List<TenantPlan> plans,
        ServicePolicy policy,
        double tick,
        int shards,
        double typicalUnits,
        double maxUnits,
        double shareWeightFraction,
        double excessWeightFraction,
        double usagePeriod,
        boolean reportsOtherGateways,
        boolean mustPoll,
        double pollInterval,
        double notifiedWithin,
        boolean mayCheckHealth,
        boolean mayCancel,
        boolean mayRetryAfter,
        double maxRetryAfter,
        double crossZonePrice,
        double healthCheckPrice,
        double wastePrice,
        boolean hasNodeWeights,
        List<String> reportFields) {
    /**
     * The same where lists come only on a watch that this gateway opens (those that are pushed, at
     * once), and a change counts as notified within a span, whether or not it arrived.
     */
    public Deployment onWatch(double span) {
        return new Deployment(
                gatewayIndex,
                gatewayCount,
                zone,
                trafficClasses,
                plans,
                policy,
                tick,
                shards,
                typicalUnits,
                maxUnits,
                shareWeightFraction,
                excessWeightFraction,
                usagePeriod,
                reportsOtherGateways,
                true,
                mustPoll ? pollInterval : 0,
                span,
                mayCheckHealth,
                mayCancel,
                mayRetryAfter,
                maxRetryAfter,
                crossZonePrice,
                healthCheckPrice,
                wastePrice,
                hasNodeWeights,
                reportFields);
    }
}
