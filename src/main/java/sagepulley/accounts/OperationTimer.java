package sagepulley.accounts;

import java.util.Arrays;
import sagepulley.model.QuotaTier;
import sagepulley.model.TrafficClass;

/**
 * One operation's time as it is spent, from its arrival to its final answer: its steps, and their
 * causes. Times are milliseconds on the monotonic clock. Changed by {@link Accounts} only, on the
 * thread that owns them.
 */
public final class OperationTimer {
    private static final int MAX_STEPS = 24;
    private static final int INITIAL_STEPS = 6;

    /** All kinds, observed and estimated, must fit. */
    private static final int MAX_CAUSES = 32;

    private static final LatencyComponent[] COMPONENTS = LatencyComponent.values();

    final long volume;
    final TrafficClass trafficClass;
    final boolean isWrite;
    final double units;
    final double arrivedAt;
    final CauseCharges charges = new CauseCharges(MAX_CAUSES);

    /** Where its time goes now, and since when. */
    LatencyComponent component = LatencyComponent.LOWER_PRIORITY;

    double stepStartedAt;

    /** The node it is at or waits for (0: none), and what is known of that; null for none. */
    int node;

    NodeActivity activity;

    /** By which quota tier it is held or was sent, and the units that it waits behind. */
    QuotaTier quotaTier = QuotaTier.SHARE;

    OutstandingWork workAhead;

    /** Attempts of other gateways ahead of its attempt, by what the node had reported. */
    double minOtherAttempts;

    double maxOtherAttempts;

    /** Where its attempt is in flight, and the keys it is counted under; null for none. */
    NodeActivity attemptActivity;

    long attemptKey;
    long totalAttemptKey;

    /** The node where it holds a slot while it waits for a claim; 0 for none. */
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

    /** Adds a step; one like the last is merged with it, and past the bound with any like it. */
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
            // None like it among the steps: it is merged with the last, of whatever component.
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

    /** How many steps it took so far, in order of time. */
    public int stepCount() {
        return count;
    }

    /** Where a step's time went. */
    public LatencyComponent step(int index) {
        return COMPONENTS[components[index]];
    }

    /** A step's node; 0 for none. */
    public int stepNode(int index) {
        return nodes[index];
    }

    /** A step's milliseconds. */
    public double stepMillis(int index) {
        return lengths[index];
    }

    /** Milliseconds spent in a component so far. */
    public double millisIn(LatencyComponent ofComponent) {
        double sum = 0;
        for (int i = 0; i < count; i++) {
            sum += components[i] == ofComponent.ordinal() ? lengths[i] : 0;
        }
        return sum;
    }

    /** Milliseconds that were no node's work. */
    double waitedMillis() {
        double waited = 0;
        for (int i = 0; i < count; i++) {
            waited += step(i) == LatencyComponent.NODE_WORK ? 0 : lengths[i];
        }
        return waited;
    }

    /** Where its time goes now. */
    public LatencyComponent currentComponent() {
        return component;
    }

    // ---- causes ----

    /** Charges a wait to what happened at a node (0: none); an estimate may be none of it. */
    void charge(Cause.Kind kind, int atNode, double length, boolean isEstimated) {
        if (length > 0) {
            long key = Cause.key(kind, 0, atNode, isEstimated);
            charges.add(key, length, isEstimated ? 0 : length, length, 0);
        }
    }

    /** Charges a wait to the operation's own volume. */
    void chargeOwn(Cause.Kind kind, double length) {
        if (length > 0) {
            charges.add(Cause.key(kind, volume, node, false), length);
        }
    }

    /** The cause that most of its time so far was charged to; null if none. */
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
