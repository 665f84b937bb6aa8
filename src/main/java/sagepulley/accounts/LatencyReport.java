package sagepulley.accounts;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Map;

/**
 * What a volume got over a time. Times are milliseconds, points in time wall-clock milliseconds.
 * The property names are those of /accounts and {@code report --json}.
 *
 * @param met operations served within their latency objective
 * @param missed all others; of them some were rejected, abandoned or cancelled
 * @param lostWeight priority weight of those missed
 * @param components milliseconds by component
 * @param causes of waiting, the largest first
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
    /** How far a cause can be relied on. */
    public enum Confidence {
        /** Observed here, and most of the waiting. */
        HIGH,
        /** Estimated, or one of several. */
        @JsonProperty("MIDDLE")
        MEDIUM,
        /** A small part, or of few operations. */
        LOW
    }

    /** What was served, or held, by one plan tier; milliseconds to the final answer. */
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
     * A cause of waiting.
     *
     * @param node where most of it happened; 0 for none
     * @param nodeShare the part of it that happened there
     * @param waited milliseconds charged to it, with the bounds of what it can have been
     * @param share of all waiting
     * @param lostWeight priority weight lost to it
     * @param observedShare the part of it that was observed and not estimated
     * @param worstFrom start of the window with most of it, wall-clock milliseconds
     * @param worstTo end of that window
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
        for (CauseReport cause : causes) {
            if (cause.kind() != Cause.Kind.OWN_WORK) {
                return cause;
            }
        }
        return null;
    }
}
