package sagepulley.accounts;

import java.util.Arrays;
import sagepulley.model.QuotaTier;
import sagepulley.model.TrafficClass;

/**
 * One operation's time as it is spent, from its arrival to its final answer: its steps, and their
 * causes.
 */
public final class OperationTimer {
    private static final int MOST_STEPS = 24;
    private static final int FIRST_STEPS = 6;

    /** All kinds, seen and reckoned, must fit. */
    private static final int MOST_CAUSES = 32;

    private static final LatencyComponent[] SPENT = LatencyComponent.values();

    final long volume;
    final TrafficClass trafficClass;
    final boolean writes;
    final double units;
    final double arrivedAt;
    final CauseCharges charges = new CauseCharges(MOST_CAUSES);

    /**
     * What runs now, since when, at which node (0: none), in which part of the plan, and behind
     * whom.
     */
    LatencyComponent currentComponent = LatencyComponent.LOWER_PRIORITY;

    double since;
    int node;
    QuotaTier quotaTier = QuotaTier.SHARE;
    OutstandingWork ahead;

    /**
     * Units ahead that are not this gateway's, by what the node told before: the least and the
     * most.
     */
    double othersLeast;

    double othersMost;

    /**
     * What is known of the node it is at or waits for, and of that where an attempt is out; null
     * for none.
     */
    NodeActivity log;

    NodeActivity out;
    long outKey;
    long outKeyAnywhere;

    /** The node where it has a slot while it waits for a claim; 0 for none. */
    int claimsAt;

    boolean limited;
    boolean wasSent;
    boolean ended;
    private byte[] stepCount = new byte[FIRST_STEPS];
    private int[] nodes = new int[FIRST_STEPS];
    private double[] lengths = new double[FIRST_STEPS];
    private int count;

    OperationTimer(
            long volume,
            TrafficClass trafficClass,
            boolean writes,
            double units,
            double arrivedAt) {
        this.volume = volume;
        this.trafficClass = trafficClass;
        this.writes = writes;
        this.units = units;
        this.arrivedAt = arrivedAt;
        this.since = arrivedAt;
    }

    /**
     * A step of so many milliseconds; one like the last goes on with it, and past the bound with
     * any like it.
     */
    void step(LatencyComponent part, int where, double length) {
        int like = count - 1;
        if (count == MOST_STEPS) {
            like = 0;
            while (like < count - 1 && stepCount[like] != part.ordinal()) {
                like++;
            }
        }
        if (like >= 0
                && stepCount[like] == part.ordinal()
                && (nodes[like] == where || count == MOST_STEPS)) {
            lengths[like] += length;
            return;
        }
        if (count == MOST_STEPS) {
            // Nothing like it among the steps kept: the last two become one of this part's kind.
            lengths[count - 1] += length;
            return;
        }
        if (count == stepCount.length) {
            stepCount = Arrays.copyOf(stepCount, MOST_STEPS);
            nodes = Arrays.copyOf(nodes, MOST_STEPS);
            lengths = Arrays.copyOf(lengths, MOST_STEPS);
        }
        stepCount[count] = (byte) part.ordinal();
        nodes[count] = where;
        lengths[count++] = length;
    }

    /**
     * How many steps it took so far, and each one's part, node (0: none) and milliseconds, in order
     * of time.
     */
    public int stepCount() {
        return count;
    }

    public LatencyComponent step(int at) {
        return SPENT[stepCount[at]];
    }

    public int stepNode(int at) {
        return nodes[at];
    }

    public double stepLength(int at) {
        return lengths[at];
    }

    /** Milliseconds spent in a part so far. */
    public double millisIn(LatencyComponent part) {
        double sum = 0;
        for (int i = 0; i < count; i++) {
            sum += stepCount[i] == part.ordinal() ? lengths[i] : 0;
        }
        return sum;
    }

    /** What runs now. */
    public LatencyComponent currentComponent() {
        return currentComponent;
    }

    /** The cause that most of its time so far was charged to; null if none. */
    public Cause mainCause() {
        int top = -1;
        for (int i = 0; i < charges.size(); i++) {
            if (top < 0 || charges.waited(i) > charges.waited(top)) {
                top = i;
            }
        }
        return top < 0 ? null : Cause.of(charges.key(top));
    }
}
