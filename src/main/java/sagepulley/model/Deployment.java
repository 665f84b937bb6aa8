package sagepulley.model;

import java.util.List;

/**
 * All that a gateway is told at its start. Times are milliseconds, rates are units a second. Within
 * notifiedWithin a change of the endpoint list counts as notified, arrived or not; it is infinite
 * where changes cannot be missed.
 */
public record Deployment(
        int me,
        int gateways,
        int zone,
        List<TrafficClass> bands,
        List<TenantPlan> plans,
        ServicePolicy rules,
        double tick,
        int shards,
        double usualUnits,
        double mostUnits,
        double shareWorth,
        double beyondWorth,
        double usePeriod,
        boolean saysOthers,
        boolean mustAsk,
        double askWithin,
        double notifiedWithin,
        boolean mayProbe,
        boolean mayCallOff,
        boolean mayAdvise,
        double longestAdvice,
        double crossZonePrice,
        double probePrice,
        double wastePrice,
        boolean weighsNodes,
        List<String> reportFields) {
    /**
     * The same where lists come only on a watch that this gateway opens (those that are pushed, at
     * once), and a change counts as notified within a span, whether or not it arrived.
     */
    public Deployment onWatch(double span) {
        return new Deployment(
                me,
                gateways,
                zone,
                bands,
                plans,
                rules,
                tick,
                shards,
                usualUnits,
                mostUnits,
                shareWorth,
                beyondWorth,
                usePeriod,
                saysOthers,
                true,
                mustAsk ? askWithin : 0,
                span,
                mayProbe,
                mayCallOff,
                mayAdvise,
                longestAdvice,
                crossZonePrice,
                probePrice,
                wastePrice,
                weighsNodes,
                reportFields);
    }
}
