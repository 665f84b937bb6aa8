package sagepulley.scheduler;

import java.util.List;
import sagepulley.model.Attempt;
import sagepulley.model.Deployment;
import sagepulley.model.Operation;

/**
 * Limits the load at each endpoint. Estimates the queue at each endpoint from the responses of
 * attempts, holds operations back according to that estimate and their quota tier, and decides when
 * too many operations are rejected to allow retries.
 *
 * <p>Queue estimates are in units of the longest acceptable queueing delay. Times are milliseconds.
 */
final class AdmissionController {
    /** The smallest weight of a new sample in the queue estimate. */
    private static final double MIN_SAMPLE_WEIGHT = 0.2;

    /** The time constant with which an old queue estimate loses weight against a new sample. */
    private static final double ESTIMATE_AGING_MILLIS = 4_000;

    private static final double MAX_QUEUE_ESTIMATE = 4;

    /** The relative weight of a timed-out attempt: its response may merely have been lost. */
    private static final double TIMEOUT_WEIGHT = 0.5;

    /**
     * The fraction of its own estimate that an endpoint keeps at each refresh; the rest is the
     * mean.
     */
    private static final double OWN_ESTIMATE_FRACTION = 0.8;

    /** The factor applied to every estimate at each refresh. */
    private static final double ESTIMATE_DECAY = 0.95;

    /** The queue limit of an operation inside its reservation, before the admission factor. */
    private static final double MAX_QUEUE_IN_RESERVATION = 1.6;

    /**
     * The highest queue limit of an operation beyond its reservation, before the admission factor.
     */
    private static final double MAX_QUEUE_BEYOND_RESERVATION = 1.2;

    /**
     * The queue limit of a volume that uses exactly its proportional share, before the cap
     * MAX_QUEUE_BEYOND_RESERVATION. The limit is inversely proportional to that usage.
     */
    private static final double MAX_QUEUE_AT_PROPORTIONAL_SHARE = 1.6;

    /** No operation is held back at or below this estimate. */
    private static final double MIN_QUEUE_ESTIMATE = 0.25;

    /** Below this fraction of the concurrency limit only late operations are held back. */
    private static final double MIN_IN_FLIGHT_FRACTION = 0.5;

    /**
     * A response that takes longer than this fraction of the objective reduces the admission
     * factor.
     */
    private static final double SLOW_RESPONSE_FRACTION = 0.7;

    /**
     * The relative steps of the admission factor; they balance at one slow response in about
     * eleven.
     */
    private static final double ADMISSION_DECREASE = 0.08;

    private static final double ADMISSION_INCREASE = 0.008;
    private static final double MIN_ADMISSION_FACTOR = 0.5;
    private static final double MAX_ADMISSION_FACTOR = 1.5;

    private static final double OVERLOAD_WINDOW_MILLIS = 1_000;

    /** The ratio of rejections to arrivals above which operations are not retried. */
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

    /** Returns an empty window for arrivals and rejections. */
    static ArrivalWindow newArrivalWindow() {
        return ArrivalWindow.over(OVERLOAD_WINDOW_MILLIS);
    }

    /**
     * Returns the factor that scales the queue limits above which operations are held back; about
     * 1.
     */
    double admissionFactor() {
        return admissionFactor;
    }

    /**
     * Returns whether an operation must wait because of the queue at an endpoint.
     *
     * <p>Nothing is held back at a low queue estimate. Above that, an operation that would miss its
     * latency objective is always held back. Any other operation is held back if about half of the
     * concurrency limit is in use and the estimate exceeds the operation's queue limit.
     */
    boolean isHeldBack(Operation operation, EndpointState endpoint, double now) {
        if (endpoint.queueEstimate <= MIN_QUEUE_ESTIMATE) {
            return false;
        }
        if (latencies.latestStartAt(operation) <= now) {
            return true;
        }
        if (endpoint.inFlight.size() < (int) (endpoint.concurrencyLimit * MIN_IN_FLIGHT_FRACTION)) {
            return false;
        }
        if (quota.fitsReservation(operation.volume, operation.units, now)) {
            return endpoint.queueEstimate > admissionFactor * MAX_QUEUE_IN_RESERVATION;
        }
        double utilization =
                quota.proportionalShareUtilization(
                        operation.volume, endpoint, operation.units, now);
        double maxEstimate =
                Math.min(
                        MAX_QUEUE_BEYOND_RESERVATION,
                        MAX_QUEUE_AT_PROPORTIONAL_SHARE / utilization);
        return endpoint.queueEstimate > Math.max(MIN_QUEUE_ESTIMATE, admissionFactor * maxEstimate);
    }

    /** Counts an operation that arrives; its endpoint is null if it has none yet. */
    void onArrival(EndpointState endpoint, double now) {
        arrivalWindow(endpoint).arrivals().add(now, 1);
    }

    /**
     * Counts an operation that was rejected or abandoned, unless its endpoint is unhealthy: an
     * outage is not an overload and must not prevent retries elsewhere.
     */
    void onGivenUp(EndpointState endpoint, double now) {
        if (endpoint == null || outliers.isHealthy(endpoint, now)) {
            arrivalWindow(endpoint).rejections().add(now, 1);
        }
    }

    /**
     * Returns whether the recent rejections for an endpoint exceed the tolerated fraction of its
     * arrivals by more than one, so that operations are not retried. A null endpoint stands for
     * operations without one.
     */
    boolean exceedsRejectionRatio(EndpointState endpoint, double now) {
        ArrivalWindow window = arrivalWindow(endpoint);
        return window.rejections().sumOverestimate(now)
                > MAX_REJECTION_RATIO * window.arrivals().sumOverestimate(now) + 1;
    }

    private ArrivalWindow arrivalWindow(EndpointState endpoint) {
        return endpoint == null ? unassignedArrivals : endpoint.arrivalWindow;
    }

    /**
     * Returns the delay after which the client of a rejected operation should retry, in
     * milliseconds: the estimated time for the queue to drain, limited to the maximum, or the
     * maximum for an unhealthy endpoint. Returns 0 if the deployment gives no retry advice.
     */
    double retryAfter(EndpointState endpoint, double now) {
        if (!deployment.mayRetryAfter()) {
            return 0;
        }
        if (endpoint != null && !outliers.isHealthy(endpoint, now)) {
            return deployment.maxRetryAfter();
        }
        double drainMillis =
                (endpoint == null ? 1 : endpoint.queueEstimate)
                        * latencies.acceptableQueueingDelay();
        return Math.min(deployment.maxRetryAfter(), drainMillis);
    }

    /**
     * Updates the queue estimate from a timed-out attempt, whose duration counts as queueing delay.
     */
    void onTimedOut(Attempt attempt, EndpointState endpoint, double now) {
        observeQueue(endpoint, attempt.duration, TIMEOUT_WEIGHT, now);
    }

    /**
     * Updates the queue estimate from the queueing delay of a served attempt. Lowers the admission
     * factor after a slow response and raises it after any other.
     */
    void onServed(Attempt attempt, EndpointState endpoint, double queueingDelay, double now) {
        double objective = latencies.objective(attempt.operation.trafficClass);
        admissionFactor =
                attempt.duration > SLOW_RESPONSE_FRACTION * objective
                        ? Math.max(MIN_ADMISSION_FACTOR, admissionFactor * (1 - ADMISSION_DECREASE))
                        : Math.min(
                                MAX_ADMISSION_FACTOR, admissionFactor * (1 + ADMISSION_INCREASE));
        observeQueue(endpoint, queueingDelay, 1, now);
    }

    /**
     * Moves the queue estimate toward a new sample. The sample has more weight the longer ago the
     * previous one was, so that an endpoint with few responses is also tracked.
     */
    private void observeQueue(
            EndpointState endpoint, double queueingDelay, double weight, double now) {
        double smoothing =
                Math.max(
                        MIN_SAMPLE_WEIGHT,
                        1
                                - StrictMath.exp(
                                        (endpoint.queueObservedAt - now) / ESTIMATE_AGING_MILLIS));
        endpoint.queueObservedAt = now;
        double sample =
                Math.min(MAX_QUEUE_ESTIMATE, queueingDelay / latencies.acceptableQueueingDelay());
        endpoint.queueEstimate += weight * smoothing * (sample - endpoint.queueEstimate);
    }

    /**
     * Decays all queue estimates and moves each toward the mean. Called once per refresh period.
     */
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
