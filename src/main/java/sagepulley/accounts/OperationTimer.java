package sagepulley.accounts;

import java.util.Arrays;
import sagepulley.model.QuotaTier;
import sagepulley.model.TrafficClass;

/**
 * Tracks the time of one operation from its arrival to its end: its steps and their causes. Times
 * are milliseconds on the monotonic clock. Only {@link Accounts} and its helpers change it, on the
 * thread that owns the accounts.
 */
public final class OperationTimer {
    private static final int MAX_STEPS = 24;
    private static final int INITIAL_STEPS = 6;

    /** Has room for every kind of cause, observed and estimated. */
    private static final int MAX_CAUSES = 32;

    private static final LatencyComponent[] COMPONENTS = LatencyComponent.values();

    final long volume;
    final TrafficClass trafficClass;
    final boolean isWrite;
    final double units;
    final double arrivedAt;
    final CauseCharges charges = new CauseCharges(MAX_CAUSES);

    /** The component of the current step, and when the step started. */
    LatencyComponent component = LatencyComponent.LOWER_PRIORITY;

    double stepStartedAt;

    /** The node of the current step (0: none), and its activity; null if it is not tracked. */
    int node;

    NodeActivity activity;

    /** The quota tier in which the operation is held or was sent, and the units ahead of it. */
    QuotaTier quotaTier = QuotaTier.SHARE;

    OutstandingWork workAhead;

    /**
     * Bounds of the attempts of other gateways ahead of this operation's attempt, as reported by
     * the node.
     */
    double minOtherAttempts;

    double maxOtherAttempts;

    /**
     * The activity of the node at which the attempt is in flight, and the keys under which its
     * units are outstanding; null if no attempt is in flight or the node is not tracked.
     */
    NodeActivity attemptActivity;

    long attemptKey;
    long totalAttemptKey;

    /** The node at which the operation holds a slot while it waits for a claim; 0 for none. */
    int claimNode;

    boolean wasRateLimited;
    boolean wasSent;
    boolean hasEnded;
    private byte[] components = new byte[INITIAL_STEPS];
    private int[] nodes = new int[INITIAL_STEPS];
    private double[] lengths = new double[INITIAL_STEPS];
    private int count;

    OperationTimer(
            long volume,
            TrafficClass trafficClass,
            boolean isWrite,
            double units,
            double arrivedAt) {
        this.volume = volume;
        this.trafficClass = trafficClass;
        this.isWrite = isWrite;
        this.units = units;
        this.arrivedAt = arrivedAt;
        this.stepStartedAt = arrivedAt;
    }

    // ---- steps ----

    /**
     * Adds a step. A step like the last one is merged with it. When the table is full, the step is
     * merged with the first of the same component, or else with the last.
     */
    void addStep(LatencyComponent ofComponent, int atNode, double length) {
        int index = indexToMerge(ofComponent);
        boolean isFull = count == MAX_STEPS;
        if (index >= 0
                && components[index] == ofComponent.ordinal()
                && (nodes[index] == atNode || isFull)) {
            lengths[index] += length;
            return;
        }
        if (isFull) {
            // No step of this component: the time is added to the last step.
            lengths[count - 1] += length;
            return;
        }
        if (count == components.length) {
            components = Arrays.copyOf(components, MAX_STEPS);
            nodes = Arrays.copyOf(nodes, MAX_STEPS);
            lengths = Arrays.copyOf(lengths, MAX_STEPS);
        }
        components[count] = (byte) ofComponent.ordinal();
        nodes[count] = atNode;
        lengths[count++] = length;
    }

    private int indexToMerge(LatencyComponent ofComponent) {
        if (count < MAX_STEPS) {
            return count - 1;
        }
        int index = 0;
        while (index < count - 1 && components[index] != ofComponent.ordinal()) {
            index++;
        }
        return index;
    }

    /** Returns the number of steps so far, which are in order of time. */
    public int stepCount() {
        return count;
    }

    /** Returns the latency component of a step. */
    public LatencyComponent step(int index) {
        return COMPONENTS[components[index]];
    }

    /** Returns the node of a step; 0 for none. */
    public int stepNode(int index) {
        return nodes[index];
    }

    /** Returns the milliseconds of a step. */
    public double stepMillis(int index) {
        return lengths[index];
    }

    /** Returns the milliseconds spent in a component so far. */
    public double millisIn(LatencyComponent ofComponent) {
        double sum = 0;
        for (int i = 0; i < count; i++) {
            sum += components[i] == ofComponent.ordinal() ? lengths[i] : 0;
        }
        return sum;
    }

    /** Returns the milliseconds spent outside of execution by nodes. */
    double waitedMillis() {
        double waited = 0;
        for (int i = 0; i < count; i++) {
            waited += step(i) == LatencyComponent.NODE_WORK ? 0 : lengths[i];
        }
        return waited;
    }

    /** Returns the component of the current step. */
    public LatencyComponent currentComponent() {
        return component;
    }

    // ---- causes ----

    /**
     * Charges a wait to a kind of cause at a node (0: none). The lower bound of an estimate is 0.
     */
    void charge(Cause.Kind kind, int atNode, double length, boolean isEstimated) {
        if (length > 0) {
            long key = Cause.key(kind, 0, atNode, isEstimated);
            charges.add(key, length, isEstimated ? 0 : length, length, 0);
        }
    }

    /** Charges an observed wait to the operation's own volume. */
    void chargeOwn(Cause.Kind kind, double length) {
        if (length > 0) {
            charges.add(Cause.key(kind, volume, node, false), length);
        }
    }

    /** Returns the cause with the largest charge so far; null if there is none. */
    public Cause mainCause() {
        int main = -1;
        for (int i = 0; i < charges.size(); i++) {
            if (main < 0 || charges.waited(i) > charges.waited(main)) {
                main = i;
            }
        }
        return main < 0 ? null : Cause.of(charges.key(main));
    }
}
