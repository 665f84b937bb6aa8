package sagepulley.accounts;

import java.util.List;
import java.util.Set;
import sagepulley.model.ExternalName;
import sagepulley.model.Outcome;
import sagepulley.model.QuotaTier;
import sagepulley.model.Reason;
import sagepulley.model.TrafficClass;

/**
 * Keeps latency accounts by volume: in which components the whole time of each operation was spent,
 * and what caused its waits (docs/accounts.md). The class does no I/O and reads no clock; callers
 * pass the time in milliseconds of the monotonic clock. Memory is bounded. All methods are called
 * on the engine's thread.
 *
 * <p>This class tracks operations by their events; {@link OperationSteps} adds up their time,
 * {@link WaitAttribution} charges their waits to causes, {@link VolumeWindows} holds the sums.
 */
public final class Accounts {
    /**
     * Bounds of memory.
     *
     * @param volumes the maximum number of volumes with an account of their own; the others share
     *     one, number 0
     * @param windows the maximum number of windows of all volumes; beyond it, windows of the least
     *     recently used volume are merged
     * @param nodes the maximum number of nodes whose activity is tracked
     */
    public record Bounds(int volumes, int windows, int nodes) {
        /** The bounds of a gateway. */
        public static final Bounds DEFAULT = new Bounds(10_000, 40_000, 512);

        /** Disables accounts: no operation gets a timer. */
        public static final Bounds NONE = new Bounds(0, 0, 0);
    }

    /** Shorter queue waits are charged to the network. */
    private static final double MIN_QUEUE_MILLIS = 0.1;

    /** Charged to an operation that did not wait, so that its lost weight has a cause. */
    private static final double NOMINAL_WAIT_MILLIS = 1e-9;

    /** The ways in which an operation ends. */
    public enum End implements ExternalName {
        /** The operation ended with a result. */
        SERVED("satisfied"),
        /** The operation was rejected before execution. */
        REJECTED("declined"),
        /** The operation ended without a result; it may have been executed. */
        ABANDONED("scrapped"),
        /** The client of the operation disconnected. */
        CANCELLED("left");

        private final String externalName;

        End(String externalName) {
            this.externalName = externalName;
        }

        @Override
        public String externalName() {
            return externalName;
        }
    }

    private final boolean enabled;
    private final double wallClockOffset;
    private final VolumeWindows windows;
    private final NodeActivities nodes;
    private final WaitAttribution attribution;
    private final OperationSteps steps;
    private final Totals totals;

    /**
     * Creates empty accounts.
     *
     * @param wallClockOffset the wall-clock time, in milliseconds, at zero of the monotonic clock
     */
    public Accounts(Bounds bounds, double wallClockOffset) {
        this(bounds, wallClockOffset, Set.of());
    }

    /** Creates empty accounts that also keep totals since the start for the given volumes. */
    public Accounts(Bounds bounds, double wallClockOffset, Set<Long> volumesWithTotals) {
        this.enabled = bounds.volumes() > 0;
        this.wallClockOffset = wallClockOffset;
        this.windows = new VolumeWindows(bounds.volumes(), bounds.windows());
        this.nodes = new NodeActivities(bounds.nodes());
        this.attribution = new WaitAttribution(nodes);
        this.steps = new OperationSteps(nodes, attribution);
        this.totals = new Totals(volumesWithTotals);
    }

    // ---- events ----

    /** Records a listed node and the time on the monotonic clock at which its slow start ends. */
    public void nodeListed(int id, int zone, double warmingUpUntil) {
        NodeActivity node = nodes.getOrCreate(id);
        if (node != null) {
            node.zone = zone;
            node.warmingUpUntil = warmingUpUntil;
        }
    }

    /**
     * Starts the timer of an operation that arrived. Returns null if accounts are disabled; the
     * other methods ignore a null timer.
     */
    public OperationTimer begin(
            long volume, TrafficClass trafficClass, boolean isWrite, double units, double now) {
        return enabled ? new OperationTimer(volume, trafficClass, isWrite, units, now) : null;
    }

    /** Records that an operation waits at this gateway, for the given node (0: none). */
    public void waitStarted(
            OperationTimer timer, LatencyComponent component, int node, double now) {
        if (timer == null) {
            return;
        }
        steps.end(timer, now);
        steps.start(timer, component, node);
        timer.wasRateLimited |= component == LatencyComponent.LIMIT;
        timer.quotaTier =
                switch (component) {
                    case RESERVATION_FULL -> QuotaTier.RESERVATION;
                    case EXCESS_FULL -> QuotaTier.EXCESS;
                    default -> QuotaTier.SHARE;
                };
    }

    /** Records that an operation holds a slot at a node and waits for the claim of its extent. */
    public void claimStarted(OperationTimer timer, int node, double now) {
        if (timer == null) {
            return;
        }
        steps.end(timer, now);
        steps.start(timer, LatencyComponent.DIRECTORY, 0);
        timer.claimNode = node;
        nodes.claimStarted(node, timer.units);
    }

    private void endClaim(OperationTimer timer) {
        if (timer.claimNode != 0) {
            nodes.claimEnded(timer.claimNode, timer.units);
            timer.claimNode = 0;
        }
    }

    /** Records that an attempt was sent to a node in the given quota tier. */
    public void attemptSent(OperationTimer timer, int node, QuotaTier quotaTier, double now) {
        if (timer == null) {
            return;
        }
        steps.end(timer, now);
        endClaim(timer);
        steps.start(timer, LatencyComponent.NETWORK, node);
        timer.quotaTier = quotaTier;
        timer.wasSent = true;
        NodeActivity activity = nodes.getOrCreate(node);
        timer.attemptActivity = activity;
        if (activity != null) {
            timer.minOtherAttempts = activity.minOtherAttempts();
            timer.maxOtherAttempts = activity.maxOtherAttempts();
            long key = OutstandingWork.key(timer.volume, quotaTier);
            timer.attemptKey = activity.outstanding.add(key, timer.units);
            timer.totalAttemptKey = nodes.outstanding.add(key, timer.units);
            activity.attemptSent(now);
            if (timer.isWrite) {
                activity.recentWrites.add(timer.volume, timer.units, now);
            }
        }
    }

    /**
     * Records that the attempt in flight was answered with a result.
     *
     * @param waited milliseconds in the node's queue, as reported by the node
     * @param worked milliseconds of execution, as reported by the node
     * @param queue attempts of all gateways in the node's queue at that time; NaN if not reported
     */
    public void attemptAnswered(
            OperationTimer timer, double waited, double worked, double queue, double now) {
        if (timer == null) {
            return;
        }
        double length = Math.max(0, now - timer.stepStartedAt);
        NodeActivity activity = timer.attemptActivity;
        timer.stepStartedAt = now;
        if (!timer.hasEnded) {
            addAnsweredAttempt(timer, length, waited, worked, now);
        }
        if (activity != null) {
            nodes.compareServiceTimes(now);
            activity.answerReceived(timer.isWrite, timer.units, waited, worked, length, queue, now);
            activity.flows
                    .windowAt(wallClockOffset + now)
                    .addWork(timer.volume, timer.isWrite, timer.units);
        }
        steps.endAttempt(timer);
        steps.start(timer, LatencyComponent.LOWER_PRIORITY, 0);
    }

    /** Splits the time of an answered attempt into network, queue and execution. */
    private void addAnsweredAttempt(
            OperationTimer timer, double length, double waited, double worked, double now) {
        double queued = Math.min(length, Math.max(0, waited));
        double work = Math.min(length - queued, Math.max(0, worked));
        double network = length - queued - work;
        NodeActivity activity = timer.attemptActivity;
        timer.addStep(LatencyComponent.NETWORK, timer.node, network);
        timer.addStep(LatencyComponent.NODE_QUEUE, timer.node, queued);
        if (queued < MIN_QUEUE_MILLIS) {
            timer.charge(Cause.Kind.NETWORK, timer.node, network + queued, false);
        } else {
            timer.charge(Cause.Kind.NETWORK, timer.node, network, false);
            attribution.chargeQueue(timer, activity, queued, length, now);
        }
        timer.addStep(LatencyComponent.NODE_WORK, timer.node, work);
        attribution.chargeWork(timer, activity, work);
    }

    /**
     * Records the answer to a cancelled attempt, which shows that the node had paused and not
     * failed.
     */
    public void lateAnswerReceived(int node, double waited, double worked) {
        NodeActivity activity = nodes.get(node);
        if (activity != null && waited + worked > 0) {
            activity.lateAnswerReceived();
        }
    }

    /** Records that the attempt in flight, or the claim before it, ended without a result. */
    public void attemptFailed(OperationTimer timer, Outcome outcome, double now) {
        if (timer == null) {
            return;
        }
        if (timer.claimNode != 0) {
            // The attempt was not sent: the claim was lost, or the directory did not answer.
            steps.end(timer, now);
            endClaim(timer);
            steps.start(timer, LatencyComponent.LOWER_PRIORITY, 0);
            return;
        }
        double length = Math.max(0, now - timer.stepStartedAt);
        if (length > 0 && !timer.hasEnded) {
            timer.addStep(LatencyComponent.FAILED_ATTEMPT, timer.node, length);
            chargeFailure(timer, outcome, length, now);
        }
        timer.stepStartedAt = now;
        steps.endAttempt(timer);
        steps.start(timer, LatencyComponent.LOWER_PRIORITY, 0);
    }

    private void chargeFailure(OperationTimer timer, Outcome outcome, double length, double now) {
        switch (outcome) {
            case TIMED_OUT, CANCELLED ->
                    attribution.chargeUnanswered(timer, timer.attemptActivity, length, now);
            case REJECTED -> attribution.charge(timer, LatencyComponent.QUEUE_AT_NODE, length, now);
            case NOT_EXECUTED -> timer.charge(Cause.Kind.DIRECTORY, 0, length, false);
            default -> timer.charge(Cause.Kind.FAULT, timer.node, length, false);
        }
    }

    /**
     * Records the end of an operation: its final answer, or the disconnection of its client.
     *
     * @param reason why the operation was not served
     * @param node the node to which a nominal wait is charged if the operation did not wait; 0 for
     *     none
     */
    public void end(OperationTimer timer, End end, Reason reason, int node, double now) {
        if (timer == null || timer.hasEnded) {
            return;
        }
        steps.end(timer, now);
        endClaim(timer);
        timer.hasEnded = true;
        double duration = now - timer.arrivedAt;
        boolean metObjective =
                end == End.SERVED && duration <= timer.trafficClass.latencyObjective();
        double lostWeight = lostWeight(timer.trafficClass, end, metObjective);
        if (lostWeight > 0 && timer.charges.size() == 0) {
            chargeNominalWait(timer, reason, node, now);
        }
        EndedOperation ended =
                new EndedOperation(
                        timer, end, tier(timer, reason), metObjective, lostWeight, duration);
        windows.windowAt(timer.volume, wallClockOffset + now).add(ended);
        totals.add(ended);
        if (timer.attemptActivity == null) {
            steps.releaseTable(timer);
        }
    }

    private static double lostWeight(TrafficClass trafficClass, End end, boolean metObjective) {
        if (metObjective) {
            return 0;
        }
        return trafficClass.priorityWeight()
                * (end == End.SERVED ? 1 - trafficClass.lateWeightFraction() : 1);
    }

    private static PlanTier tier(OperationTimer timer, Reason reason) {
        if (timer.wasRateLimited || reason == Reason.LIMIT) {
            return PlanTier.LIMIT;
        }
        return timer.wasSent ? PlanTier.of(timer.quotaTier) : PlanTier.NONE;
    }

    /**
     * Charges a nominal wait to an operation that ended without waiting, in the component in which
     * it would have waited.
     */
    private void chargeNominalWait(OperationTimer timer, Reason reason, int node, double now) {
        LatencyComponent component =
                switch (reason) {
                    case OBJECTIVE_MISSED, DEADLINE -> LatencyComponent.SHARE_FULL;
                    default -> LatencyComponent.of(reason);
                };
        steps.start(timer, component, node);
        attribution.charge(timer, component, NOMINAL_WAIT_MILLIS, now);
        timer.component = LatencyComponent.LOWER_PRIORITY;
    }

    // ---- results ----

    /** Returns the account of a volume over a period on the monotonic clock. */
    public LatencyReport report(long volume, double from, double to) {
        return snapshot().report(volume, wallClockOffset + from, wallClockOffset + to);
    }

    /** Returns a copy of the totals since the start. */
    public Totals totals() {
        return totals.copy();
    }

    /** Starts a copy that is taken in steps, on the thread that owns these accounts. */
    public IncrementalCopy startCopy() {
        return new IncrementalCopy(snapshot());
    }

    /**
     * Returns a view of all accounts. It shares its windows with this object, so it is for the same
     * thread only.
     */
    public LatencyAccount snapshot() {
        LatencyAccount account = new LatencyAccount();
        windows.forEach(account.volumes::put);
        nodes.forEach(
                (id, activity) -> {
                    account.flows.put(id, activity.flows);
                    account.zones.put(id, activity.zone);
                });
        return account;
    }

    /**
     * Adds the stored accounts of an earlier process, within the bounds. Windows later than the
     * current time are shifted back.
     */
    public void restore(LatencyAccount account, double now) {
        account.shiftBefore(wallClockOffset + now);
        windows.merge(account.volumes);
        account.flows.forEach(
                (id, flows) -> {
                    NodeActivity activity = nodes.getOrCreate(id);
                    if (activity != null) {
                        activity.flows.merge(flows, 0);
                    }
                });
    }

    /** Returns the volumes that have an account, in ascending order. */
    public List<Long> volumes() {
        return windows.volumes();
    }

    /** Returns the number of windows of all volumes. */
    public int windowCount() {
        return windows.size();
    }
}
