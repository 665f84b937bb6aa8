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
    final WaitQueue waiting = new WaitQueue();

    final List<Attempt> out = new ArrayList<>();

    /** How many attempts may be out, and when that was last cut. */
    double bound;

    double cutAt = Double.NEGATIVE_INFINITY;

    /** The queue that the latest answers showed, against the longest that is wanted. */
    double crowd;

    double crowdAt = Double.NEGATIVE_INFINITY;

    /** The run of one extent: which, and how many more of it go first. */
    long lastExtent;

    int runLeft;

    /** Whose turn it was found to be, and when, in which state. */
    Operation picked;

    double pickedAt = Double.NaN;
    long pickedState;

    /** The fair level of the volumes that use the node, and until when it stands. */
    final List<TenantEndpointUsage> uses = new ArrayList<>();

    double fair = Double.POSITIVE_INFINITY;
    double fairUntil = Double.NEGATIVE_INFINITY;

    /**
     * When it started, as it was told, as far as that is possible; and what it was sent while it
     * was cold.
     */
    double toldStart;

    double startedAt;
    final SlidingWindowCounter coldSpent;

    /**
     * Health: when it last served, when it was last sent to, whether it must prove itself by a
     * trial.
     */
    double heardAt = Double.NEGATIVE_INFINITY;

    double sentAt = Double.NEGATIVE_INFINITY;
    boolean distrusted;

    /** The share of its latest answers that were errors. */
    double faults;

    /** The score's terms; reads at 0, writes at 1. */
    final SlidingWindowCounter placements;

    final double[] took = new double[2];
    final double[] units = new double[2];
    final double[] pace = {Double.NaN, Double.NaN};
    double rawBusy = Double.NaN;
    double busy = 1;
    double fragment = 1;

    /** What lately came for it and was declined. */
    final ArrivalWindow load;

    EndpointState(
            int index,
            Node node,
            double bound,
            ArrivalWindow load,
            SlidingWindowCounter placements,
            SlidingWindowCounter coldSpent) {
        this.index = index;
        this.node = node;
        this.bound = bound;
        this.load = load;
        this.placements = placements;
        this.coldSpent = coldSpent;
        this.toldStart = node.startedAt;
        this.startedAt = node.startedAt;
    }

    /** Whether its place may go to another node. */
    boolean isVacant() {
        return node.forgotten && waiting.isEmpty();
    }
}
