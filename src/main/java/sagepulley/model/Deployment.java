package sagepulley.model;

import java.util.List;

/**
 * The settings of a gateway's deployment, read at startup. Times are milliseconds, rates are units
 * per second.
 *
 * @param gatewayIndex the index of this gateway, from 0
 * @param gatewayCount the number of gateways that serve the same endpoints
 * @param zone the zone of this gateway
 * @param trafficClasses all traffic classes, by index
 * @param plans all tenant plans, by index
 * @param policy the rules that all gateways follow
 * @param tick the resolution of the clock
 * @param shards the number of shards; each is held by the endpoint of one cell
 * @param typicalUnits the units of a typical operation
 * @param maxUnits the units of the largest operation
 * @param shareWeightFraction the fraction of its price at which an operation inside the share is
 *     valued
 * @param excessWeightFraction the fraction of its price at which an operation in excess of the
 *     share is valued
 * @param usagePeriod the period over which endpoints report a plan's usage
 * @param reportsOtherGateways whether endpoints report what they served through other gateways
 * @param mustPoll whether discovery sends the endpoint list only on request
 * @param pollInterval the poll interval of the endpoint list; the spread of the gateways' first
 *     polls and the wait for a result before the next poll are derived from it
 * @param notifiedWithin the time after which a change of the endpoint list counts as notified,
 *     whether or not it arrived; infinite where no change can be missed
 * @param mayCheckHealth whether endpoints respond to health checks
 * @param mayCancel whether attempts may be cancelled
 * @param mayRetryAfter whether a rejection may advise when to retry
 * @param maxRetryAfter the maximum retry delay that a rejection may advise
 * @param crossZonePrice the price of an attempt in another zone
 * @param healthCheckPrice the price of a health check
 * @param wastePrice the price of work whose result is not used
 * @param hasNodeWeights whether the endpoint list gives weights
 * @param reportFields the names of the values in a load report, in order
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
     * Returns a copy of this deployment in which endpoint lists arrive only on a watch. The gateway
     * opens the watch without delay where discovery would otherwise push the lists.
     *
     * @param notifiedWithin the time after which a change of the endpoint list counts as notified
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
