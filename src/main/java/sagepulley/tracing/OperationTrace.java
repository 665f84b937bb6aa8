package sagepulley.tracing;

import java.util.List;
import sagepulley.accounts.Accounts;
import sagepulley.accounts.LatencyComponent;
import sagepulley.model.Outcome;
import sagepulley.model.QuotaTier;
import sagepulley.model.Reason;

/**
 * One operation's life as plain values. Durations are milliseconds.
 *
 * @param cookie the client's number for the request
 * @param trafficClass its name
 * @param arrivedAt wall-clock milliseconds; steps follow one another from it
 * @param mainCause of its waits, in words
 * @param sampleReason why its trace is kept
 * @param sampleWeight for how many operations it stands
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
    /** A step: where its time went, and at which node (0: none). */
    public record Step(LatencyComponent component, int node, double duration) {}

    /**
     * An attempt.
     *
     * @param sentAfter milliseconds after the arrival
     * @param outcome null while it is in flight
     */
    public record Attempt(
            int number,
            int node,
            QuotaTier quotaTier,
            double sentAfter,
            double duration,
            Outcome outcome) {}
}
