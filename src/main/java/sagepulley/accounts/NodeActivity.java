package sagepulley.accounts;

/**
 * The activity of one node as observed by this gateway: its service times, its queue, its pauses,
 * and the units in flight there by volume. Times are milliseconds on the monotonic clock; service
 * times are per unit.
 */
final class NodeActivity {
    /** Weight of the newest sample in an exponentially weighted average. */
    private static final double SMOOTHING = 0.1;

    /**
     * A sample is capped at this multiple of the average plus an allowance, so that a single pause
     * does not make a node slow.
     */
    private static final double MAX_OUTLIER_FACTOR = 4;

    private static final double OUTLIER_ALLOWANCE_MILLIS = 1;

    /**
     * Weight of a sample in the wait per unit ahead. Decreases have three times this weight, so
     * that the value stays near the shorter waits.
     */
    private static final double WAIT_SMOOTHING = 0.05;

    private static final double TYPICAL_WAIT_FACTOR = 2;
    private static final double TYPICAL_WAIT_ALLOWANCE_MILLIS = 1;

    /** A node is silent after this many average attempts plus an allowance without an answer. */
    private static final double SILENCE_ATTEMPT_FACTOR = 4;

    private static final double SILENCE_ALLOWANCE_MILLIS = 20;

    private static final double PAUSE_SMOOTHING = 0.4;

    /**
     * A silence was a pause if the node reports more than this fraction of it as queueing and
     * execution.
     */
    private static final double PAUSE_FRACTION = 0.6;

    private static final double MIN_UNITS = 1e-9;

    final int id;
    int zone;
    double warmingUpUntil = Double.NEGATIVE_INFINITY;
    final OutstandingWork outstanding = new OutstandingWork();
    final Timeline<NodeFlow> flows = new Timeline<>(NodeFlow::new);

    /** Recently written units by volume, because deferred writes delay other operations. */
    final DecayingUsage recentWrites = new DecayingUsage();

    /** Units of operations that hold a slot at this node and wait for a claim. */
    double claimingUnits;

    double lastAnsweredAt = Double.NEGATIVE_INFINITY;

    /**
     * Average fractions of an attempt's time lost to the load of other gateways and to pauses of
     * the node.
     */
    double otherGatewaysFraction;

    double pausedFraction;

    private int attemptsInFlight;

    /** When the number of attempts in flight last rose from zero. */
    private double busySince;

    /** Service times of reads and of writes; NaN before the first answer. */
    private final double[] serviceTime = {Double.NaN, Double.NaN};

    /** Service times at the latest comparison with other nodes. */
    private final double[] comparedServiceTime = {Double.NaN, Double.NaN};

    private double averageAttemptMillis = Double.NaN;

    /**
     * Typical queue wait per unit ahead without load of other gateways; NaN before the first
     * sample.
     */
    private double waitPerUnitAhead = Double.NaN;

    /** Attempts of all gateways in the node's queue, as reported with the latest answer. */
    private double reportedAttempts;

    /** Attempts of this gateway in flight when that answer arrived. */
    private double ownAttemptsAtReport;

    /** Average fraction of recent silences that proved to be pauses. */
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
     * Records the answer to an attempt.
     *
     * @param waited time in the node's queue, as reported by the node
     * @param worked time of execution, as reported by the node
     * @param duration time from sending to the answer
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

    /** Records the answer to a cancelled attempt, which shows that a silence was a pause. */
    void lateAnswerReceived() {
        silencePauseFraction += PAUSE_SMOOTHING * (1 - silencePauseFraction);
    }

    /** Records the fractions of an attempt's time lost to other gateways and to pauses. */
    void recordAttemptBreakdown(double otherGateways, double paused) {
        otherGatewaysFraction += SMOOTHING * (otherGateways - otherGatewaysFraction);
        pausedFraction += SMOOTHING * (paused - pausedFraction);
    }

    // ---- queue ----

    /** Returns the minimum number of attempts of other gateways in the node's queue. */
    double minOtherAttempts() {
        return Math.max(0, reportedAttempts - ownAttemptsAtReport);
    }

    /** Returns the maximum number of attempts of other gateways in the node's queue. */
    double maxOtherAttempts() {
        return reportedAttempts;
    }

    /** Records a queue wait behind the given units, without load of other gateways. */
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

    /**
     * Returns the upper bound of a typical queue wait behind the given units; NaN before the first
     * sample.
     */
    double maxTypicalWait(double units) {
        return Double.isNaN(waitPerUnitAhead)
                ? Double.NaN
                : TYPICAL_WAIT_FACTOR * waitPerUnitAhead * units + TYPICAL_WAIT_ALLOWANCE_MILLIS;
    }

    // ---- service time ----

    private static int direction(boolean isWrite) {
        return isWrite ? 1 : 0;
    }

    double serviceTime(boolean isWrite) {
        return serviceTime[direction(isWrite)];
    }

    /** Captures the service time for a comparison of all nodes. Returns false if there is none. */
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

    // ---- pauses ----

    /**
     * Returns the maximum typical duration of an attempt sent at the given time; 0 if the node has
     * not answered since.
     */
    double maxTypicalAttempt(double sentAt) {
        return lastAnsweredAt <= sentAt || Double.isNaN(averageAttemptMillis)
                ? 0
                : SILENCE_ATTEMPT_FACTOR * averageAttemptMillis + SILENCE_ALLOWANCE_MILLIS;
    }

    /**
     * Returns the milliseconds of a period in which the node was silent with attempts in flight.
     */
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
