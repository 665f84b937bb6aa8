package sagepulley.scheduler;

import java.util.List;
import sagepulley.model.Attempt;
import sagepulley.model.Deployment;
import sagepulley.model.Operation;

/**
 * Sheds load before an endpoint is overloaded: it estimates the queue at each endpoint from the
 * answers, holds operations back by that estimate and their quota tier, and tells when operations
 * are rejected instead of retried. An estimate is in units of the longest queueing delay that is
 * acceptable. Times are milliseconds.
 */
final class AdmissionController {
    /** The least weight of an answer in the queue estimate. */
    private static final double MIN_ESTIMATE_SMOOTHING = 0.2;

    /** The time after which a new answer has nearly all the weight. */
    private static final double ESTIMATE_AGING_MILLIS = 4_000;

    private static final double MAX_QUEUE_ESTIMATE = 4;

    /** The weight of a time-out against an answer: its answer may only be lost. */
    private static final double TIMEOUT_WEIGHT = 0.5;

    /** What stays of an endpoint's own estimate at each refresh; the rest is the fleet's mean. */
    private static final double OWN_ESTIMATE_FRACTION = 0.8;

    /** What stays of all estimates at each refresh. */
    private static final double ESTIMATE_DECAY = 0.95;

    /** The estimate above which an operation inside its reservation is held back. */
    private static final double MAX_QUEUE_RESERVATION = 1.6;

    /** The same inside the share. */
    private static final double MAX_QUEUE_SHARE = 1.2;

    /** The same at its even level; above it, it falls with the multiple of that level. */
    private static final double MAX_QUEUE_AT_PROPORTIONAL_SHARE = 1.6;

    /** Up to this estimate nothing is held back. */
    private static final double MIN_QUEUE_ESTIMATE = 0.25;

    /** Below this part of the concurrency limit only late operations are held back. */
    private static final double HELD_BACK_FRACTION = 0.5;

    /** An answer that takes longer than this part of the objective counts as late. */
    private static final double LATE_ANSWER_FRACTION = 0.7;

    /** The admission factor's steps; one late answer in eleven leaves it where it is. */
    private static final double ADMISSION_DECREASE = 0.08;

    private static final double ADMISSION_INCREASE = 0.008;
    private static final double MIN_ADMISSION_FACTOR = 0.5;
    private static final double MAX_ADMISSION_FACTOR = 1.5;

    private static final double OVERLOAD_WINDOW_MILLIS = 1_000;

    /** The part of arrivals that may be rejected before retries are. */
    private static final double MAX_REJECTION_RATIO = 0.03;

    private final Deployment deployment;
    private final LatencyTracker latencies;
    private final QuotaTracker quota;
    private final OutlierDetector outliers;
    private final ArrivalWindow unassignedArrivals = newArrivalWindow();
    private double admissionFactor = 1;

    AdmissionController(
            Deployment deployment,
            LatencyTracker latencies,
            QuotaTracker quota,
            OutlierDetector outliers) {
        this.deployment = deployment;
        this.latencies = latencies;
        this.quota = quota;
        this.outliers = outliers;
    }

    /** A window over arrivals and rejections as an endpoint needs one. */
    static ArrivalWindow newArrivalWindow() {
        return ArrivalWindow.over(OVERLOAD_WINDOW_MILLIS);
    }

    /** How long queues may be before operations are held back, against the usual; about 1. */
    double admissionFactor() {
        return admissionFactor;
    }

    /**
     * Whether an operation is held back from an endpoint: a late one by any queue, others past part
     * of the concurrency limit by a queue that is too long for their quota tier.
     */
    boolean isHeldBack(Operation operation, EndpointState endpoint, double now) {
        if (endpoint.queueEstimate <= MIN_QUEUE_ESTIMATE) {
            return false;
        }
        if (latencies.latestStartAt(operation) <= now) {
            return true;
        }
        if (endpoint.inFlight.size() < (int) (endpoint.concurrencyLimit * HELD_BACK_FRACTION)) {
            return false;
        }
        if (quota.fitsReservation(operation.volume, operation.units, now)) {
            return endpoint.queueEstimate > admissionFactor * MAX_QUEUE_RESERVATION;
        }
        double utilization = quota.proportionalShareUtilization(operation.volume, endpoint, operation.units, now);
        double maxEstimate = Math.min(MAX_QUEUE_SHARE, MAX_QUEUE_AT_PROPORTIONAL_SHARE / utilization);
        return endpoint.queueEstimate > Math.max(MIN_QUEUE_ESTIMATE, admissionFactor * maxEstimate);
    }

    /** Counts an operation that arrives for an endpoint; null for a new object. */
    void onArrival(EndpointState endpoint, double now) {
        arrivalWindow(endpoint).arrivals().add(now, 1);
    }

    /**
     * Counts an operation that was given up. Overload is what is rejected though its endpoint
     * serves; an outage must not forbid retries elsewhere.
     */
    void onGivenUp(EndpointState endpoint, double now) {
        if (endpoint == null || outliers.isHealthy(endpoint, now)) {
            arrivalWindow(endpoint).rejections().add(now, 1);
        }
    }

    /** Whether so much of what came lately for an endpoint was rejected that retries would harm. */
    boolean exceedsRejectionRatio(EndpointState endpoint, double now) {
        ArrivalWindow window = arrivalWindow(endpoint);
        return window.rejections().sumOverestimate(now)
                > MAX_REJECTION_RATIO * window.arrivals().sumOverestimate(now) + 1;
    }

    private ArrivalWindow arrivalWindow(EndpointState endpoint) {
        return endpoint == null ? unassignedArrivals : endpoint.arrivalWindow;
    }

    /**
     * When the client of a rejected operation should retry, in milliseconds from now: once the
     * queue has drained, or as late as may be told of an unhealthy endpoint. 0 for no advice.
     */
    double retryAfter(EndpointState endpoint, double now) {
        if (!deployment.mayRetryAfter()) {
            return 0;
        }
        if (endpoint != null && !outliers.isHealthy(endpoint, now)) {
            return deployment.maxRetryAfter();
        }
        double drainMillis =
                (endpoint == null ? 1 : endpoint.queueEstimate) * latencies.acceptableQueueingDelay();
        return Math.min(deployment.maxRetryAfter(), drainMillis);
    }

    /** A time-out shows a queue at least as long, unless its answer was lost. */
    void onTimedOut(Attempt attempt, EndpointState endpoint, double now) {
        observeQueue(endpoint, attempt.duration, TIMEOUT_WEIGHT, now);
    }

    /** A served attempt shows the queue by its queueing delay; late answers shorten all queues. */
    void onServed(Attempt attempt, EndpointState endpoint, double queueingDelay, double now) {
        double objective = latencies.objective(attempt.operation.trafficClass);
        admissionFactor =
                attempt.duration > LATE_ANSWER_FRACTION * objective
                        ? Math.max(MIN_ADMISSION_FACTOR, admissionFactor * (1 - ADMISSION_DECREASE))
                        : Math.min(
                                MAX_ADMISSION_FACTOR, admissionFactor * (1 + ADMISSION_INCREASE));
        observeQueue(endpoint, queueingDelay, 1, now);
    }

    /**
     * Few answers must tell as much as many: one counts the more, the longer the last one is ago.
     */
    private void observeQueue(
            EndpointState endpoint, double queueingDelay, double weight, double now) {
        double smoothing =
                Math.max(
                        MIN_ESTIMATE_SMOOTHING,
                        1 - Math.exp((endpoint.queueObservedAt - now) / ESTIMATE_AGING_MILLIS));
        endpoint.queueObservedAt = now;
        double sample = Math.min(MAX_QUEUE_ESTIMATE, queueingDelay / latencies.acceptableQueueingDelay());
        endpoint.queueEstimate += weight * smoothing * (sample - endpoint.queueEstimate);
    }

    /** What was seen of one endpoint fades into what is seen of all; once a refresh period. */
    void refresh(List<EndpointState> endpoints) {
        double sum = endpoints.stream().mapToDouble(endpoint -> endpoint.queueEstimate).sum();
        for (EndpointState endpoint : endpoints) {
            endpoint.queueEstimate =
                    ESTIMATE_DECAY
                            * (OWN_ESTIMATE_FRACTION * endpoint.queueEstimate
                                    + (1 - OWN_ESTIMATE_FRACTION) * sum / endpoints.size());
        }
    }
}
