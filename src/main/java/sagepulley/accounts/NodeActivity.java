package sagepulley.accounts;

/**
 * What this gateway observed of a node: its service time, queue and pauses, and whose units are in
 * flight there. Times are milliseconds on the monotonic clock; service times are per unit.
 */
final class NodeActivity {
    /** Of an exponentially weighted average. */
    private static final double SMOOTHING = 0.1;

    /**
     * One answer counts at most so many times the average, so that a single pause does not make a
     * slow node.
     */
    private static final double MAX_OUTLIER_FACTOR = 4;

    private static final double OUTLIER_ALLOWANCE_MILLIS = 1;

    /** The wait for a unit ahead is followed towards its lower quartile, in steps of this part. */
    private static final double WAIT_SMOOTHING = 0.05;

    private static final double TYPICAL_WAIT_FACTOR = 2;
    private static final double TYPICAL_WAIT_ALLOWANCE_MILLIS = 1;

    /** A node is quiet when it is silent for so many average attempts and an allowance. */
    private static final double SILENCE_ATTEMPT_FACTOR = 4;

    private static final double SILENCE_ALLOWANCE_MILLIS = 20;

    private static final double PAUSE_SMOOTHING = 0.4;

    /** A quiet time was a pause if the node accounts for this part of it. */
    private static final double PAUSE_FRACTION = 0.6;

    private static final double MIN_UNITS = 1e-9;

    final int id;
    int zone;
    double warmingUpUntil = Double.NEGATIVE_INFINITY;
    final OutstandingWork outstanding = new OutstandingWork();
    final Timeline<NodeFlow> flows = new Timeline<>(NodeFlow::new);

    /** Units written lately, by volume: deferred writes make others wait. */
    final DecayingUsage recentWrites = new DecayingUsage();

    /** Units of operations that hold a slot here while they wait for a claim. */
    double claimingUnits;

    double lastAnsweredAt = Double.NEGATIVE_INFINITY;

    /** Of an attempt's time, the parts that went to other gateways' work and to its own pauses. */
    double otherGatewaysFraction;

    double pausedFraction;

    private int attemptsInFlight;

    /** When the number of attempts in flight last rose from zero. */
    private double busySince;

    /** Reads and writes; NaN before the first answer. */
    private final double[] serviceTime = {Double.NaN, Double.NaN};

    /** The same as it was at the latest comparison with other nodes. */
    private final double[] comparedServiceTime = {Double.NaN, Double.NaN};

    private double averageAttemptMillis = Double.NaN;

    /** Of waits in the queue while no other gateway's work was there; NaN before the first. */
    private double waitPerUnitAhead = Double.NaN;

    /** Attempts of all gateways in its queue, as its latest answer reported. */
    private double reportedAttempts;

    /** This gateway's attempts in flight then. */
    private double ownAttemptsAtReport;

    /** Of the latest quiet times, the part that proved to be pauses. */
    private double silencePauseFraction;

    NodeActivity(int id) {
        this.id = id;
    }

    // ---- attempts ----

    void attemptSent(double now) {
        if (attemptsInFlight++ == 0) {
            busySince = now;
        }
    }

    void attemptEnded() {
        attemptsInFlight--;
    }

    /**
     * An attempt was answered.
     *
     * @param waited in the node's queue, as the node reported
     * @param worked by the node, as it reported
     * @param duration from sending to answer
     * @param queue attempts in the node's queue; NaN if not reported
     */
    void answerReceived(
            boolean isWrite,
            double units,
            double waited,
            double worked,
            double duration,
            double queue,
            double now) {
        double silentMillis = now - Math.max(lastAnsweredAt, busySince);
        if (silentMillis > silenceThreshold()) {
            boolean wasPause = waited + worked > PAUSE_FRACTION * silentMillis;
            silencePauseFraction += PAUSE_SMOOTHING * ((wasPause ? 1 : 0) - silencePauseFraction);
        }
        lastAnsweredAt = now;
        int direction = direction(isWrite);
        double latest = Math.max(0, worked) / Math.max(MIN_UNITS, units);
        serviceTime[direction] = average(serviceTime[direction], latest);
        averageAttemptMillis = average(averageAttemptMillis, duration);
        reportedAttempts = Double.isNaN(queue) ? 0 : queue;
        ownAttemptsAtReport = attemptsInFlight;
    }

    private static double average(double average, double latest) {
        if (Double.isNaN(average)) {
            return latest;
        }
        double bounded = Math.min(latest, MAX_OUTLIER_FACTOR * average + OUTLIER_ALLOWANCE_MILLIS);
        return average + SMOOTHING * (bounded - average);
    }

    /** An attempt that had been given up was answered: the node had paused, or was long at it. */
    void lateAnswerReceived() {
        silencePauseFraction += PAUSE_SMOOTHING * (1 - silencePauseFraction);
    }

    /** How an attempt's time was composed. */
    void recordAttemptBreakdown(double otherGateways, double paused) {
        otherGatewaysFraction += SMOOTHING * (otherGateways - otherGatewaysFraction);
        pausedFraction += SMOOTHING * (paused - pausedFraction);
    }

    // ---- its queue ----

    /** At least so many attempts in its queue are other gateways'. */
    double minOtherAttempts() {
        return Math.max(0, reportedAttempts - ownAttemptsAtReport);
    }

    /** At most so many attempts in its queue are other gateways'. */
    double maxOtherAttempts() {
        return reportedAttempts;
    }

    /** What a wait in the queue was with so many units ahead, none of them other gateways'. */
    void recordQueueWait(double waited, double units) {
        double latest = waited / units;
        if (Double.isNaN(waitPerUnitAhead)) {
            waitPerUnitAhead = latest;
        } else if (latest < waitPerUnitAhead) {
            waitPerUnitAhead -= 3 * WAIT_SMOOTHING * (waitPerUnitAhead - latest);
        } else {
            waitPerUnitAhead +=
                    WAIT_SMOOTHING * Math.min(latest - waitPerUnitAhead, waitPerUnitAhead);
        }
    }

    /** Upper bound of the usual wait with so many units ahead; NaN if none was observed. */
    double maxTypicalWait(double units) {
        return Double.isNaN(waitPerUnitAhead)
                ? Double.NaN
                : TYPICAL_WAIT_FACTOR * waitPerUnitAhead * units + TYPICAL_WAIT_ALLOWANCE_MILLIS;
    }

    // ---- its service time ----

    private static int direction(boolean isWrite) {
        return isWrite ? 1 : 0;
    }

    double serviceTime(boolean isWrite) {
        return serviceTime[direction(isWrite)];
    }

    /** Remembers the service time for a comparison over all nodes; false if there is none. */
    boolean captureServiceTime(boolean isWrite) {
        comparedServiceTime[direction(isWrite)] = serviceTime[direction(isWrite)];
        return hasComparedServiceTime(isWrite);
    }

    boolean hasComparedServiceTime(boolean isWrite) {
        return !Double.isNaN(comparedServiceTime[direction(isWrite)]);
    }

    double comparedServiceTime(boolean isWrite) {
        return comparedServiceTime[direction(isWrite)];
    }

    // ---- its pauses ----

    /**
     * What an attempt that was sent at a time may usually take; 0 if the node has answered nothing
     * since.
     */
    double maxTypicalAttempt(double sentAt) {
        return lastAnsweredAt <= sentAt || Double.isNaN(averageAttemptMillis)
                ? 0
                : SILENCE_ATTEMPT_FACTOR * averageAttemptMillis + SILENCE_ALLOWANCE_MILLIS;
    }

    /** Of a wait for this node, the milliseconds in which it was quiet. */
    double silentMillis(double from, double to) {
        if (attemptsInFlight == 0) {
            return 0;
        }
        double silentSince = Math.max(lastAnsweredAt, busySince) + silenceThreshold();
        return Math.max(0, to - Math.max(from, silentSince));
    }

    private double silenceThreshold() {
        double attempt =
                Double.isNaN(averageAttemptMillis)
                        ? SILENCE_ALLOWANCE_MILLIS
                        : averageAttemptMillis;
        return SILENCE_ATTEMPT_FACTOR * attempt + SILENCE_ALLOWANCE_MILLIS;
    }

    double silencePauseFraction() {
        return silencePauseFraction;
    }
}
