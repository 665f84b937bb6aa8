package sagepulley.accounts;

import com.fasterxml.jackson.annotation.JsonProperty;
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
        @JsonProperty("declined") long rejected,
        @JsonProperty("scrapped") long abandoned,
        @JsonProperty("left") long cancelled,
        double units,
        @JsonProperty("utilityLost") double lostWeight,
        @JsonProperty("parts") Map<LatencyComponent, Double> components,
        @JsonProperty("plan") List<TierReport> tiers,
        List<CauseReport> causes) {
    /**
     * How far a cause's name can be relied on: seen here and most of it; reckoned, or one of
     * several; less.
     */
    public enum Confidence {
        HIGH,
        @JsonProperty("MIDDLE")
        MEDIUM,
        LOW
    }

    /** What was served, or held, by one part of the plan; times to the final answer. */
    public record TierReport(
            @JsonProperty("part") PlanTier tier,
            long met,
            long missed,
            double units,
            @JsonProperty("utilityLost") double lostWeight,
            double p50,
            double p99,
            @JsonProperty("longest") double max) {}

    /**
     * A cause: the waiting charged to it with the least and the most that it can have been, its
     * share of all waiting, the utility lost to it, the node where most of it happened (0: none),
     * and the stretch with most.
     */
    public record CauseReport(
            Cause.Kind kind,
            long volume,
            int node,
            double nodeShare,
            double waited,
            @JsonProperty("least") double lowerBound,
            @JsonProperty("most") double upperBound,
            double share,
            @JsonProperty("utilityLost") double lostWeight,
            @JsonProperty("exactShare") double observedShare,
            double worstFrom,
            double worstTo,
            Confidence confidence) {}

    /** The largest cause of waiting that is not the volume's own work; null if there is none. */
    public CauseReport mainCause() {
        for (CauseReport charged : causes) {
            if (charged.kind() != Cause.Kind.OWN_WORK) {
                return charged;
            }
        }
        return null;
    }
}
