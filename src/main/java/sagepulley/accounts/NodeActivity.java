package sagepulley.accounts;

/**
 * What this gateway saw of a node: its pace, its queue, its pauses, and whose units are out there.
 */
final class NodeActivity {
    private static final double STEP = 0.1;

    /**
     * One answer counts at most so many times the usual, so that a single pause does not make a
     * slow node.
     */
    private static final double ODD = 4;

    /** The wait for a unit ahead is followed towards its low quarter, in steps of this part. */
    private static final double DRAIN_STEP = 0.05;

    /**
     * A node that is silent for so many times its usual attempt, and so long besides, holds its
     * attempts up itself.
     */
    private static final double QUIET_ATTEMPTS = 4;

    private static final double QUIET_LEAST = 20;
    private static final double SPELL_STEP = 0.4;
    private static final double MOST_OF_SPELL = 0.6;

    final int id;
    int zone;
    double coldUntil = Double.NEGATIVE_INFINITY;
    final OutstandingWork out = new OutstandingWork();
    final Timeline<NodeFlow> flows = new Timeline<>(NodeFlow::new);

    /** Units written lately, by volume: what a deferred write makes others wait for. */
    final DecayingUsage written = new DecayingUsage();

    int attemptsOut;
    double claiming;
    double heardAt = Double.NEGATIVE_INFINITY;
    private double firstOutAt;

    /** Milliseconds of work a unit, reads and writes; NaN before the first answer. */
    private final double[] pace = {Double.NaN, Double.NaN};

    private final double[] then = {Double.NaN, Double.NaN};
    private double attempt = Double.NaN;

    /**
     * Milliseconds of waiting there for each unit of this gateway's ahead, with nobody else's seen.
     */
    private double drain = Double.NaN;

    /**
     * Attempts in its queue when it last answered, and how many of them can have been this
     * gateway's.
     */
    private double queueTold;

    private double queueOwn;

    /**
     * Of an attempt's time, the parts that went to other gateways' work and to pauses of the node's
     * own.
     */
    double elsewhere;

    double paused;
    private double pauses;

    NodeActivity(int id) {
        this.id = id;
    }

    void sent(double now) {
        if (attemptsOut++ == 0) {
            firstOutAt = now;
        }
    }

    void ended() {
        attemptsOut--;
    }

    /**
     * Attempts in its queue that are not this gateway's, when it last answered: the least and the
     * most.
     */
    double othersLeast() {
        return Math.max(0, queueTold - queueOwn);
    }

    double othersMost() {
        return queueTold;
    }

    void heard(
            boolean writes,
            double units,
            double waited,
            double worked,
            double took,
            double queue,
            double now) {
        double spell = now - Math.max(heardAt, firstOutAt);
        if (spell > quietFrom()) {
            // Who tells that it stood or was worked on all that time tells of a pause, not of a
            // fault.
            pauses += SPELL_STEP * ((waited + worked > MOST_OF_SPELL * spell ? 1 : 0) - pauses);
        }
        heardAt = now;
        int at = writes ? 1 : 0;
        double latest = Math.max(0, worked) / Math.max(1e-9, units);
        if (Double.isNaN(pace[at])) {
            pace[at] = latest;
        } else {
            pace[at] += STEP * (Math.min(latest, ODD * pace[at] + 1) - pace[at]);
        }
        attempt =
                Double.isNaN(attempt)
                        ? took
                        : attempt + STEP * (Math.min(took, ODD * attempt + 1) - attempt);
        queueTold = Double.isNaN(queue) ? 0 : queue;
        queueOwn = attemptsOut;
    }

    /** What a wait was with so many units ahead, none of them others'. */
    void drained(double waited, double units) {
        double latest = waited / units;
        if (Double.isNaN(drain)) {
            drain = latest;
        } else if (latest < drain) {
            drain -= 3 * DRAIN_STEP * (drain - latest);
        } else {
            drain += DRAIN_STEP * Math.min(latest - drain, drain);
        }
    }

    /** Milliseconds that so many units ahead are usually waited for at most; NaN if never seen. */
    double usualWait(double units) {
        return Double.isNaN(drain) ? Double.NaN : 2 * drain * units + 1;
    }

    void composed(double elsewhereNow, double pausedNow) {
        elsewhere += STEP * (elsewhereNow - elsewhere);
        paused += STEP * (pausedNow - paused);
    }

    double pace(boolean writes) {
        return pace[writes ? 1 : 0];
    }

    /** Notes the pace as it is now, for a comparison over all nodes; false if there is none. */
    boolean noted(int kind) {
        then[kind] = pace[kind];
        return paced(kind);
    }

    boolean paced(int kind) {
        return !Double.isNaN(then[kind]);
    }

    double paceThen(int kind) {
        return then[kind];
    }

    /**
     * What an attempt that was sent at a time may take by the usual; 0 if the node has answered
     * nothing since.
     */
    double usualSince(double sentAt) {
        return heardAt <= sentAt || Double.isNaN(attempt)
                ? 0
                : QUIET_ATTEMPTS * attempt + QUIET_LEAST;
    }

    /**
     * Of a wait for this node from one time to another, the milliseconds in which it had fallen
     * quiet.
     */
    double quiet(double from, double to) {
        if (attemptsOut == 0) {
            return 0;
        }
        double since = Math.max(heardAt, firstOutAt) + quietFrom();
        return Math.max(0, to - Math.max(from, since));
    }

    private double quietFrom() {
        return QUIET_ATTEMPTS * (Double.isNaN(attempt) ? QUIET_LEAST : attempt) + QUIET_LEAST;
    }

    void late() {
        pauses += SPELL_STEP * (1 - pauses);
    }

    /** Of the latest times that it was quiet, the part that proved to be pauses. */
    double pauses() {
        return pauses;
    }
}
