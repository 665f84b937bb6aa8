package sagepulley.scheduler;

import java.util.List;
import sagepulley.model.Attempt;
import sagepulley.model.Operation;
import sagepulley.model.TrafficClass;

/**
 * Latency statistics by traffic class: the service time of a unit, the age at which clients cancel,
 * and the latency objective that follows from them. Times are milliseconds.
 */
final class LatencyTracker {
    /** Weight of one operation in the age and ratio of cancellations. */
    private static final double CANCELLATION_SMOOTHING = 0.02;

    /** Above this ratio the age at which clients cancel replaces the latency objective. */
    private static final double MIN_CANCELLATION_RATIO = 0.05;

    /** Weight of one answer in the service times. */
    private static final double SERVICE_TIME_SMOOTHING = 0.05;

    /** The quantile of service times that counts as that without a queue. */
    private static final double BASE_QUANTILE = 0.2;

    /** A first answer says nothing of the base yet: it starts at this part of it. */
    private static final double INITIAL_BASE_FRACTION = 0.5;

    /** A single answer counts in the mean as at most so many times the mean. */
    private static final double MAX_OUTLIER_FACTOR = 4;

    /** The part of the mean service time that has to be left when an attempt starts. */
    private static final double REQUIRED_SERVICE_FRACTION = 0.7;

    /** The part of the shortest objective that an operation may be queued at an endpoint. */
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

    /** The statistics of all traffic classes in their order. */
    List<TrafficClassStats> all() {
        return List.of(statsByClass);
    }

    private TrafficClassStats stats(TrafficClass trafficClass) {
        return statsByClass[trafficClass.index()];
    }

    /** The mean service time of a unit of the class, in milliseconds. */
    double meanServiceTime(TrafficClass trafficClass) {
        return stats(trafficClass).meanServiceTime;
    }

    /**
     * How long a served attempt was queued at its endpoint, by the service time without a queue.
     */
    double queueingDelay(Attempt attempt) {
        Operation operation = attempt.operation;
        return attempt.duration - operation.units * stats(operation.trafficClass).baseServiceTime;
    }

    /** The client cancelled an operation: many that do so early shorten the latency objective. */
    void onCancelled(Operation operation, double now) {
        TrafficClassStats stats = stats(operation.trafficClass);
        double age = now - operation.arrivedAt;
        // A client that cancels before an answer usually comes has reasons other than waiting.
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
     * An operation was given up: without this a ratio that forbids every attempt would never fall.
     */
    void onGivenUp(TrafficClass trafficClass) {
        stats(trafficClass).cancellationRatio *= 1 - CANCELLATION_SMOOTHING;
    }

    /** Learns from an attempt that was served. */
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
     * The latency objective of a class, or the age at which its clients cancel where many cancel
     * before it.
     */
    double objective(TrafficClass trafficClass) {
        TrafficClassStats stats = stats(trafficClass);
        return stats.cancellationRatio > MIN_CANCELLATION_RATIO
                ? Math.min(stats.cancellationAge, trafficClass.latencyObjective())
                : trafficClass.latencyObjective();
    }

    /** How long before its objective an attempt must start, or it would be late. */
    double requiredServiceTime(TrafficClass trafficClass, double units) {
        return REQUIRED_SERVICE_FRACTION * (stats(trafficClass).meanServiceTime * units);
    }

    /** From when on an operation, if sent, would miss its latency objective. */
    double latestStartAt(Operation operation) {
        double objectiveEnd =
                Math.min(
                        QueuedRequest.of(operation).objectiveEndsAt,
                        operation.arrivedAt + objective(operation.trafficClass));
        return objectiveEnd - requiredServiceTime(operation.trafficClass, operation.units);
    }

    /** The shortest objective of all classes, as of the latest refresh; 0 before the first. */
    double minObjective() {
        return minObjective;
    }

    /** The longest queueing delay at an endpoint that is acceptable, in milliseconds. */
    double acceptableQueueingDelay() {
        return ACCEPTABLE_QUEUEING_FRACTION * minObjective;
    }

    /** Takes the shortest objective anew. */
    void refresh() {
        minObjective = trafficClasses.stream().mapToDouble(this::objective).min().orElse(0);
    }
}
