package sagepulley.model;

import java.util.List;

/**
 * The settings of a gateway's deployment, which it reads at its start. Times are milliseconds,
 * rates are units a second.
 *
 * @param gatewayIndex the number of this gateway, from 0
 * @param gatewayCount how many gateways serve the same endpoints
 * @param zone the zone of this gateway
 * @param trafficClasses all traffic classes, by index
 * @param plans all tenant plans, by index
 * @param policy the rules that every gateway keeps
 * @param tick the step of the clock
 * @param shards how many shards there are; each lies at the endpoint of one cell
 * @param typicalUnits the size of a usual operation
 * @param maxUnits the size of the largest operation
 * @param shareWeightFraction the part of its price that an operation inside the share is worth
 * @param excessWeightFraction the part of its price that an operation in excess of it is worth
 * @param usagePeriod the period over which endpoints report a plan's usage
 * @param reportsOtherGateways whether endpoints report what they served through other gateways
 * @param mustPoll whether discovery sends the endpoint list only where it is asked for
 * @param pollInterval the longest time between two polls of the endpoint list
 * @param notifiedWithin the time after which a change of the endpoint list counts as notified,
 *     arrived or not; infinite where changes cannot be missed
 * @param mayCheckHealth whether endpoints answer health checks
 * @param mayCancel whether attempts may be cancelled
 * @param mayRetryAfter whether a rejection may advise when to retry
 * @param maxRetryAfter the longest such advice
 * @param crossZonePrice the price of an attempt in another zone
 * @param healthCheckPrice the price of a health check
 * @param wastePrice the price of work for nobody
 * @param hasNodeWeights whether the endpoint list gives weights
 * @param reportFields the names of a load report's values, in their order
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
     * The same deployment where lists come only on a watch that this gateway opens, at once where
     * they are pushed otherwise, and a change counts as notified within a time.
     */
    public Deployment withWatch(double notifiedWithin) {
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
                notifiedWithin,
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
