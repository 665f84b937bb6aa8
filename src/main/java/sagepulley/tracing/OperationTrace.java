package sagepulley.tracing;

import java.util.List;
import sagepulley.accounts.Accounts;
import sagepulley.accounts.LatencyComponent;
import sagepulley.model.Outcome;
import sagepulley.model.QuotaTier;
import sagepulley.model.Reason;

/**
 * One operation's life as plain values. The arrival is wall-clock milliseconds; steps follow one
 * another from it, and attempts are told from it too. Why it was kept, and how many such it stands
 * for.
 */
public record OperationTrace(
        String gateway,
        long operation,
        long cookie,
        String volume,
        String trafficClass,
        String kind,
        long extent,
        double units,
        double arrivedAt,
        double duration,
        Accounts.End end,
        Reason reason,
        String mainCause,
        TailSampler.SampleReason sampleReason,
        double sampleWeight,
        List<Step> steps,
        List<Attempt> attempts) {
    /** A stretch of time: what it went to, at which node (0: none), and how long. */
    public record Step(LatencyComponent component, int node, double duration) {}

    /**
     * One sending: whereto, in which part of the plan, how long after the arrival, and how it ended
     * (null: out).
     */
    public record Attempt(
            int number,
            int node,
            QuotaTier quotaTier,
            double sentAfter,
            double duration,
            Outcome outcome) {}
}
