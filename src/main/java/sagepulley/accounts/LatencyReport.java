package sagepulley.accounts;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Map;

/**
 * The latency account of a volume over a period. Durations are milliseconds, points in time
 * wall-clock milliseconds. The property names are those of /accounts and {@code report --json}.
 *
 * @param met operations served within their latency objective
 * @param missed all other operations, including those rejected, abandoned and cancelled
 * @param lostWeight the priority weight of the missed operations that was lost
 * @param components milliseconds by latency component
 * @param causes the causes of waiting, largest first
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
    /** The confidence in a cause. */
    public enum Confidence {
        /** The cause is mostly observed and the dominant part of the waiting. */
        HIGH,
        /** The cause is estimated, or one of several large ones. */
        @JsonProperty("MIDDLE")
        MEDIUM,
        /** The cause is a small part of the waiting, or is based on few operations. */
        LOW
    }

    /**
     * The operations that were served or held in one plan tier. Percentiles and maximum are
     * milliseconds from arrival to the end of the operation.
     */
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
     * @param node the node with the largest part of the waiting; 0 for none
     * @param nodeShare the fraction of the waiting that occurred at that node
     * @param waited milliseconds charged to the cause, with a lower and an upper bound
     * @param share the fraction of all waiting
     * @param lostWeight the priority weight lost to the cause
     * @param observedShare the fraction of the waiting that was observed and not estimated
     * @param worstFrom the start of the window with the highest charge relative to its length
     * @param worstTo the end of that window
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

    /**
     * Returns the largest cause of waiting other than the volume's own work; null if there is none.
     */
    public CauseReport mainCause() {
        for (CauseReport cause : causes) {
            if (cause.kind() != Cause.Kind.OWN_WORK) {
                return cause;
            }
        }
        return null;
    }
}
