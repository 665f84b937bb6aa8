package sagepulley.scheduler;

import java.util.ArrayList;
import java.util.List;
import sagepulley.model.Attempt;
import sagepulley.model.Node;
import sagepulley.model.Operation;
import sagepulley.model.SlidingWindowCounter;

/**
 * What the scheduler keeps of an endpoint. Each group of fields is written by the class that its
 * comment names. Times are milliseconds.
 */
final class EndpointState {
    /** How many operations of one extent go in a row before others. */
    private static final int RUN_LENGTH = 4;

    private static final double PLACEMENTS_WINDOW_MILLIS = 10_000;
    private static final int PLACEMENTS_BUCKETS = 10;
    private static final int SLOW_START_BUCKETS = 20;

    final int index;
    final Node node;

    // RequestQueues

    /** Operations whose data lies here, waiting for their turn. */
    final WaitQueue waitQueue = new WaitQueue();

    // Scheduler, which sends

    final List<Attempt> inFlight = new ArrayList<>();
    double lastSentAt = Double.NEGATIVE_INFINITY;

    /** The extent that was sent last, and how many more of it go first. */
    long lastExtent;

    int runRemaining;

    /** New objects that were sent here lately. */
    final SlidingWindowCounter placements =
            new SlidingWindowCounter(PLACEMENTS_WINDOW_MILLIS, PLACEMENTS_BUCKETS);

    /** Units that were sent here lately, as far as slow start asks for them. */
    final SlidingWindowCounter slowStartSpent;

    // ConcurrencyLimiter

    /** How many attempts may be in flight; its whole part counts. */
    double concurrencyLimit = ConcurrencyLimiter.INITIAL_LIMIT;

    double limitReducedAt = Double.NEGATIVE_INFINITY;

    // AdmissionController

    /** The queue that the latest answers showed, in units of the longest acceptable one. */
    double queueEstimate;

    double queueObservedAt = Double.NEGATIVE_INFINITY;

    /** What lately came for it, and what of it was rejected though it could be served. */
    final ArrivalWindow arrivalWindow = AdmissionController.newArrivalWindow();

    // RequestSelector

    /** The operation whose turn it was found to be, when, and at which version of the queues. */
    Operation selected;

    double selectedAt = Double.NaN;
    long selectedVersion;

    // QuotaTracker

    /** The volumes that use the endpoint, in the order in which they were met. */
    final List<TenantEndpointUsage> tenantUsages = new ArrayList<>();

    /** Units for each unit of weight that are fair, and until when this holds. */
    double fairLevel = Double.POSITIVE_INFINITY;

    double fairLevelValidUntil = Double.NEGATIVE_INFINITY;

    // EndpointTable

    /** When it started as it was reported, and as far as that is possible. */
    double reportedStart;

    double startedAt;

    // OutlierDetector

    double lastResponseAt = Double.NEGATIVE_INFINITY;

    /** Whether only an answer to a probation request makes it an endpoint like others again. */
    boolean ejected;

    /** The part of its latest answers that were faults. */
    double faultRatio;

    // EndpointLatencies; reads at 0, writes at 1

    /** Time and units that were served since the last refresh. */
    final double[] responseMillis = new double[2];

    final double[] servedUnits = new double[2];

    /** The service time of a unit by direction and in all; NaN before the first answer. */
    final double[] serviceTimes = {Double.NaN, Double.NaN};

    double smoothedServiceTime = Double.NaN;

    /** The service time against the mean of all endpoints. */
    double latencyRatio = 1;

    /** The ratio of write to read service time against the mean of all endpoints. */
    double writeReadRatio = 1;

    EndpointState(int index, Node node, double slowStartWindowMillis) {
        this.index = index;
        this.node = node;
        this.slowStartSpent = new SlidingWindowCounter(slowStartWindowMillis, SLOW_START_BUCKETS);
        this.reportedStart = node.startedAt;
        this.startedAt = node.startedAt;
    }

    /** The scheduler's state of an endpoint; null before it was first listed. */
    static EndpointState of(Node node) {
        return (EndpointState) node.schedulerState;
    }

    /** Whether it started less than the slow start time ago. */
    boolean isInSlowStart(double now, double slowStartMillis) {
        return now - startedAt < slowStartMillis;
    }

    /** Counts an attempt that is sent here. */
    void onSent(Attempt attempt, double now) {
        Operation operation = attempt.operation;
        inFlight.add(attempt);
        lastSentAt = now;
        slowStartSpent.add(now, operation.units);
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

    /** Whether its place may go to another endpoint. */
    boolean isVacant() {
        return node.pruned && waitQueue.isEmpty();
    }
}
