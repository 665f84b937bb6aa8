package sagepulley.model;

import java.util.List;

/** All that a gateway is told at its start. Times are milliseconds, rates are units a second. */
public record Deployment(
        int me,
        int gateways,
        int zone,
        List<Band> bands,
        List<Plan> plans,
        Rulebook rules,
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
        boolean mayProbe,
        boolean mayCallOff,
        boolean mayAdvise,
        double longestAdvice,
        double crossZonePrice,
        double probePrice,
        double wastePrice,
        boolean weighsNodes,
        List<String> reportFields) {
    /** The same where lists come only on a watch that this gateway opens: those that are pushed, at once. */
    public Deployment onWatch() {
        return mustAsk ? this : new Deployment(me, gateways, zone, bands, plans, rules, tick, shards, usualUnits,
                mostUnits, shareWorth, beyondWorth, usePeriod, saysOthers, true, 0, mayProbe, mayCallOff, mayAdvise,
                longestAdvice, crossZonePrice, probePrice, wastePrice, weighsNodes, reportFields);
    }
}
