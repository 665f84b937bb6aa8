package sagepulley.scheduler;

/** Holds the latency statistics of one traffic class. Owned by {@link LatencyTracker}. */
final class TrafficClassStats {
    /** The service time of a unit without a queue, in milliseconds, estimated as a low quantile. */
    double baseServiceTime;

    /** The mean service time of a unit, in milliseconds. */
    double meanServiceTime;

    /** The mean age at which clients cancel operations, in milliseconds. */
    double cancellationAge;

    /**
     * The smoothed fraction of operations that clients cancel after the mean service time has
     * passed.
     */
    double cancellationRatio;
}
