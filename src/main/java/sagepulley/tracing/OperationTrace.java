package sagepulley.tracing;

import java.util.List;
import sagepulley.accounts.Accounts;
import sagepulley.accounts.LatencyComponent;
import sagepulley.model.Outcome;
import sagepulley.model.QuotaTier;
import sagepulley.model.Reason;

/**
 * The trace of one ended operation. Durations are in milliseconds.
 *
 * @param cookie the NBD cookie that the client gave the request
 * @param trafficClass name of the traffic class
 * @param arrivedAt arrival in wall-clock milliseconds; the first step starts here
 * @param mainCause text that names the main cause of the waits
 * @param sampleReason why the trace is kept
 * @param sampleWeight number of operations that the trace represents
 * @param steps consecutive latency components, without gaps
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
    /** Time spent in one latency component, at a node or at none (0). */
    public record Step(LatencyComponent component, int node, double duration) {}

    /**
     * An attempt to execute the operation at a node.
     *
     * @param sentAfter milliseconds from the arrival to the send
     * @param outcome null if the attempt is still in flight
     */
    public record Attempt(
            int number,
            int node,
            QuotaTier quotaTier,
            double sentAfter,
            double duration,
            Outcome outcome) {}
}
