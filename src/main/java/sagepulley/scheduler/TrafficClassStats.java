package sagepulley.scheduler;

/** What was learned of one traffic class; owned by {@link LatencyTracker}. */
final class TrafficClassStats {
    /**
     * The service time of a unit at an endpoint without a queue, in milliseconds: a low quantile.
     */
    double baseServiceTime;

    /** The mean service time of a unit, in milliseconds. */
    double meanServiceTime;

    /** The mean age at which clients cancel, in milliseconds. */
    double cancellationAge;

    /** The fraction of operations that clients cancel before an answer usually comes. */
    double cancellationRatio;
}
