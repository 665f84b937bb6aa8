package sagepulley.accounts;

import java.util.List;
import java.util.Map;

/**
 * What a volume got over a stretch of time. Times are milliseconds, those of the clock on the wall.
 * Causes come with the largest first.
 */
public record LatencyReport(
        long volume,
        double from,
        double to,
        long operations,
        long met,
        long missed,
        long declined,
        long scrapped,
        long left,
        double units,
        double utilityLost,
        Map<LatencyComponent, Double> parts,
        List<PlanLine> plan,
        List<Charged> causes) {
    /**
     * How far a cause's name can be relied on: seen here and most of it; reckoned, or one of
     * several; less.
     */
    public enum Confidence {
        HIGH,
        MIDDLE,
        LOW
    }

    /** What was served, or held, by one part of the plan; times to the final answer. */
    public record PlanLine(
            PlanTier part,
            long met,
            long missed,
            double units,
            double utilityLost,
            double p50,
            double p99,
            double longest) {}

    /**
     * A cause: the waiting charged to it with the least and the most that it can have been, its
     * share of all waiting, the utility lost to it, the node where most of it happened (0: none),
     * and the stretch with most.
     */
    public record Charged(
            Cause.Kind kind,
            long volume,
            int node,
            double nodeShare,
            double waited,
            double least,
            double most,
            double share,
            double utilityLost,
            double exactShare,
            double worstFrom,
            double worstTo,
            Confidence confidence) {}

    /** The largest cause of waiting that is not the volume's own work; null if there is none. */
    public Charged main() {
        for (Charged charged : causes) {
            if (charged.kind() != Cause.Kind.OWN_WORK) {
                return charged;
            }
        }
        return null;
    }
}
