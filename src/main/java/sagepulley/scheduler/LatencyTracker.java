package sagepulley.scheduler;

import java.util.List;
import sagepulley.model.Attempt;
import sagepulley.model.Operation;
import sagepulley.model.TrafficClass;

/**
 * Tracks latency statistics by traffic class: the service time of a unit and the age at which
 * clients cancel operations. Derives the effective latency objective from them. Times are
 * milliseconds.
 */
final class LatencyTracker {
    /** The weight of one operation in the age and ratio of cancellations. */
    private static final double CANCELLATION_SMOOTHING = 0.02;

    /** Above this ratio the age at which clients cancel bounds the latency objective. */
    private static final double MIN_CANCELLATION_RATIO = 0.05;

    /** The weight of one response in the service times. */
    private static final double SERVICE_TIME_SMOOTHING = 0.05;

    /** The quantile of service times that is taken as the service time without a queue. */
    private static final double BASE_QUANTILE = 0.2;

    /**
     * The initial base service time as a fraction of the first service time, which may include a
     * queue.
     */
    private static final double INITIAL_BASE_FRACTION = 0.5;

    /** The cap on a single response in the mean service time, as a multiple of that mean. */
    private static final double MAX_OUTLIER_FACTOR = 4;

    /** The fraction of the mean service time that must be left when an attempt starts. */
    private static final double REQUIRED_SERVICE_FRACTION = 0.7;

    /** The acceptable queueing delay at an endpoint, as a fraction of the shortest objective. */
    private static final double ACCEPTABLE_QUEUEING_FRACTION = 0.25;

    private final List<TrafficClass> trafficClasses;
    private final TrafficClassStats[] statsByClass;
    private double minObjective;

    LatencyTracker(List<TrafficClass> trafficClasses) {
        this.trafficClasses = trafficClasses;
        this.statsByClass = new TrafficClassStats[trafficClasses.size()];
        for (TrafficClass trafficClass : trafficClasses) {
            statsByClass[trafficClass.index()] = new TrafficClassStats();
        }
    }

    /** Returns the statistics of all traffic classes, by index. */
    List<TrafficClassStats> all() {
        return List.of(statsByClass);
    }

    private TrafficClassStats stats(TrafficClass trafficClass) {
        return statsByClass[trafficClass.index()];
    }

    /** Returns the mean service time of a unit in a traffic class, in milliseconds. */
    double meanServiceTime(TrafficClass trafficClass) {
        return stats(trafficClass).meanServiceTime;
    }

    /**
     * Returns the queueing delay of a served attempt: its duration less the service time without a
     * queue.
     */
    double queueingDelay(Attempt attempt) {
        Operation operation = attempt.operation;
        return attempt.duration - operation.units * stats(operation.trafficClass).baseServiceTime;
    }

    /**
     * Records that the client cancelled an operation. Frequent early cancellations shorten the
     * latency objective.
     */
    void onCancelled(Operation operation, double now) {
        TrafficClassStats stats = stats(operation.trafficClass);
        double age = now - operation.arrivedAt;
        // A cancellation before the mean service time has passed is not due to a slow response.
        if (age > stats.meanServiceTime * operation.units) {
            stats.cancellationAge =
                    stats.cancellationRatio == 0
                            ? age
                            : stats.cancellationAge
                                    + CANCELLATION_SMOOTHING * (age - stats.cancellationAge);
            stats.cancellationRatio += CANCELLATION_SMOOTHING * (1 - stats.cancellationRatio);
        }
    }

    /**
     * Decays the cancellation ratio when an operation is rejected or abandoned. A ratio that
     * prevents every attempt would otherwise never fall.
     */
    void onGivenUp(TrafficClass trafficClass) {
        stats(trafficClass).cancellationRatio *= 1 - CANCELLATION_SMOOTHING;
    }

    /** Updates the statistics from a served attempt. */
    void onServed(Attempt attempt) {
        TrafficClassStats stats = stats(attempt.operation.trafficClass);
        stats.cancellationRatio -= CANCELLATION_SMOOTHING * stats.cancellationRatio;
        double serviceTime = attempt.duration / attempt.operation.units;
        if (stats.baseServiceTime == 0) {
            stats.baseServiceTime = serviceTime * INITIAL_BASE_FRACTION;
            stats.meanServiceTime = serviceTime;
        }
        stats.baseServiceTime *=
                serviceTime < stats.baseServiceTime
                        ? 1 - SERVICE_TIME_SMOOTHING * (1 - BASE_QUANTILE)
                        : 1 + SERVICE_TIME_SMOOTHING * BASE_QUANTILE;
        double capped = Math.min(serviceTime, MAX_OUTLIER_FACTOR * stats.meanServiceTime);
        stats.meanServiceTime += SERVICE_TIME_SMOOTHING * (capped - stats.meanServiceTime);
    }

    /**
     * Returns the latency objective of a class, or the mean age at which its clients cancel if that
     * is shorter and cancellations are frequent.
     */
    double objective(TrafficClass trafficClass) {
        TrafficClassStats stats = stats(trafficClass);
        return stats.cancellationRatio > MIN_CANCELLATION_RATIO
                ? Math.min(stats.cancellationAge, trafficClass.latencyObjective())
                : trafficClass.latencyObjective();
    }

    /**
     * Returns the time before the end of the objective at which an attempt must start at the
     * latest.
     */
    double requiredServiceTime(TrafficClass trafficClass, double units) {
        return REQUIRED_SERVICE_FRACTION * (stats(trafficClass).meanServiceTime * units);
    }

    /** Returns the time from which on an operation, if sent, would miss its latency objective. */
    double latestStartAt(Operation operation) {
        double objectiveEnd =
                Math.min(
                        QueuedRequest.of(operation).objectiveEndsAt,
                        operation.arrivedAt + objective(operation.trafficClass));
        return objectiveEnd - requiredServiceTime(operation.trafficClass, operation.units);
    }

    /**
     * Returns the shortest objective of all classes as of the latest refresh, or 0 before the
     * first.
     */
    double minObjective() {
        return minObjective;
    }

    /** Returns the longest acceptable queueing delay at an endpoint, in milliseconds. */
    double acceptableQueueingDelay() {
        return ACCEPTABLE_QUEUEING_FRACTION * minObjective;
    }

    /** Recomputes the shortest objective. */
    void refresh() {
        minObjective = trafficClasses.stream().mapToDouble(this::objective).min().orElse(0);
    }
}
