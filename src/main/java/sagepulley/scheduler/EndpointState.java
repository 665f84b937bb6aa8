package sagepulley.scheduler;

import java.util.ArrayList;
import java.util.List;
import sagepulley.model.Attempt;
import sagepulley.model.Node;
import sagepulley.model.Operation;
import sagepulley.model.SlidingWindowCounter;

/** What is kept of a node. */
final class EndpointState {
    final int index;
    final Node node;

    /** Operations whose data lies here, waiting for their turn. */
    final WaitQueue waitQueue = new WaitQueue();

    final List<Attempt> inFlight = new ArrayList<>();

    /** How many attempts may be out, and when that was last cut. */
    double concurrencyLimit;

    double limitReducedAt = Double.NEGATIVE_INFINITY;

    /** The queue that the latest answers showed, against the longest that is wanted. */
    double queueEstimate;

    double queueObservedAt = Double.NEGATIVE_INFINITY;

    /** The run of one extent: which, and how many more of it go first. */
    long lastExtent;

    int runRemaining;

    /** Whose turn it was found to be, and when, in which state. */
    Operation selected;

    double selectedAt = Double.NaN;
    long selectedVersion;

    /** The fair level of the volumes that use the node, and until when it stands. */
    final List<TenantEndpointUsage> tenantUsages = new ArrayList<>();

    double fairLevel = Double.POSITIVE_INFINITY;
    double fairLevelValidUntil = Double.NEGATIVE_INFINITY;

    /**
     * When it started, as it was told, as far as that is possible; and what it was sent while it
     * was cold.
     */
    double reportedStart;

    double startedAt;
    final SlidingWindowCounter slowStartSpent;

    /**
     * Health: when it last served, when it was last sent to, whether it must prove itself by a
     * trial.
     */
    double lastResponseAt = Double.NEGATIVE_INFINITY;

    double lastSentAt = Double.NEGATIVE_INFINITY;
    boolean ejected;

    /** The share of its latest answers that were errors. */
    double faultRatio;

    /** The score's terms; reads at 0, writes at 1. */
    final SlidingWindowCounter placements;

    final double[] responseMillis = new double[2];
    final double[] servedUnits = new double[2];
    final double[] serviceTimes = {Double.NaN, Double.NaN};
    double smoothedServiceTime = Double.NaN;
    double latencyRatio = 1;
    double writeReadRatio = 1;

    /** What lately came for it and was declined. */
    final ArrivalWindow arrivalWindow;

    EndpointState(
            int index,
            Node node,
            double bound,
            ArrivalWindow load,
            SlidingWindowCounter placements,
            SlidingWindowCounter coldSpent) {
        this.index = index;
        this.node = node;
        this.concurrencyLimit = bound;
        this.arrivalWindow = load;
        this.placements = placements;
        this.slowStartSpent = coldSpent;
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

    /** Whether its place may go to another node. */
    boolean isVacant() {
        return node.forgotten && waitQueue.isEmpty();
    }
}
