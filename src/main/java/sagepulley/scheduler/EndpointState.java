package sagepulley.scheduler;

import java.util.ArrayList;
import java.util.List;
import sagepulley.model.Attempt;
import sagepulley.model.Node;
import sagepulley.model.Operation;
import sagepulley.model.SlidingWindowCounter;

/**
 * Holds the scheduler's state of one endpoint. Each group of fields is written by the class named
 * above it. Times are milliseconds.
 */
final class EndpointState {
    /** The number of operations on one extent that are sent in a row, ahead of others. */
    private static final int RUN_LENGTH = 4;

    private static final double PLACEMENTS_WINDOW_MILLIS = 10_000;
    private static final int PLACEMENTS_BUCKETS = 10;
    private static final int OVERLOAD_WINDOW_BUCKETS = 20;

    final int index;
    final Node node;

    // RequestQueues

    /** The waiting operations whose data this endpoint holds. */
    final WaitQueue waitQueue = new WaitQueue();

    // Scheduler, when it sends an attempt and when an attempt ends

    final List<Attempt> inFlight = new ArrayList<>();
    double lastSentAt = Double.NEGATIVE_INFINITY;

    /** The extent of the last attempt sent; 0 for none. */
    long lastExtent;

    /** The number of operations on that extent that may still be sent ahead of others. */
    int runRemaining;

    /** New objects recently sent to this endpoint. */
    final SlidingWindowCounter placements =
            new SlidingWindowCounter(PLACEMENTS_WINDOW_MILLIS, PLACEMENTS_BUCKETS);

    /** Units sent to this endpoint within the overload window; read by {@link SlowStartBudget}. */
    final SlidingWindowCounter recentlySentUnits;

    // ConcurrencyLimiter

    /** The maximum number of attempts in flight; its fractional part is ignored. */
    double concurrencyLimit = ConcurrencyLimiter.INITIAL_LIMIT;

    double limitReducedAt = Double.NEGATIVE_INFINITY;

    // AdmissionController

    /** The estimated queue, in units of the longest acceptable queueing delay. */
    double queueEstimate;

    double queueObservedAt = Double.NEGATIVE_INFINITY;

    /** Recent arrivals for this endpoint and rejections of them. */
    final ArrivalWindow arrivalWindow = AdmissionController.newArrivalWindow();

    // RequestSelector

    /** The operation selected to be sent next, cached for a time and a version of the queues. */
    Operation selected;

    double selectedAt = Double.NaN;
    long selectedVersion;

    // QuotaTracker

    /** The usage of each volume at this endpoint, in the order of first use. */
    final List<TenantEndpointUsage> tenantUsages = new ArrayList<>();

    /** The fair level in units per unit of weight, cached until fairLevelValidUntil. */
    double fairLevel = Double.POSITIVE_INFINITY;

    double fairLevelValidUntil = Double.NEGATIVE_INFINITY;

    // EndpointTable

    /** The start time as reported, and as corrected for differences between clocks. */
    double reportedStart;

    double startedAt;

    // OutlierDetector

    double lastResponseAt = Double.NEGATIVE_INFINITY;

    /** True while the endpoint is ejected; a served attempt ends the ejection. */
    boolean ejected;

    /** The smoothed fraction of recent responses that were faults. */
    double faultRatio;

    // EndpointLatencies; arrays hold reads at index 0 and writes at index 1

    /** The duration and units of the attempts served since the last refresh. */
    final double[] responseMillis = new double[2];

    final double[] servedUnits = new double[2];

    /**
     * The smoothed service time of a unit, by direction and overall; NaN before the first response.
     */
    final double[] serviceTimes = {Double.NaN, Double.NaN};

    double smoothedServiceTime = Double.NaN;

    /** The service time relative to the mean of all endpoints. */
    double latencyRatio = 1;

    /** The ratio of write to read service time, relative to the mean of all endpoints. */
    double writeReadRatio = 1;

    EndpointState(int index, Node node, double overloadWindowMillis) {
        this.index = index;
        this.node = node;
        this.recentlySentUnits =
                new SlidingWindowCounter(overloadWindowMillis, OVERLOAD_WINDOW_BUCKETS);
        this.reportedStart = node.startedAt;
        this.startedAt = node.startedAt;
    }

    /** Returns the scheduler's state of a node, or null before it was first listed. */
    static EndpointState of(Node node) {
        return (EndpointState) node.schedulerState;
    }

    /** Returns whether the endpoint started less than the slow start time ago. */
    boolean isInSlowStart(double now, double slowStartMillis) {
        return now - startedAt < slowStartMillis;
    }

    /** Records an attempt that is sent to this endpoint. */
    void onSent(Attempt attempt, double now) {
        Operation operation = attempt.operation;
        inFlight.add(attempt);
        lastSentAt = now;
        recentlySentUnits.add(now, operation.units);
        if (operation.extent != 0 && operation.extent == lastExtent) {
            runRemaining--;
        } else {
            lastExtent = operation.extent;
            runRemaining = RUN_LENGTH - 1;
        }
        if (operation.shard < 0) {
            placements.add(now, 1);
        }
    }

    /**
     * Returns whether the index of this endpoint may be reused: its node was removed for good, and
     * no operation waits for it.
     */
    boolean isVacant() {
        return node.pruned && waitQueue.isEmpty();
    }
}
