package sagepulley.accounts;

import java.util.ArrayDeque;

/**
 * Starts and ends the steps of operations, adds up their time, and captures the units in flight
 * that each step waits behind.
 */
final class OperationSteps {
    private static final int MAX_POOLED_TABLES = 4096;

    private final NodeActivities nodes;
    private final WaitAttribution attribution;

    /** Tables of ended operations, kept for reuse. */
    private final ArrayDeque<OutstandingWork> tablePool = new ArrayDeque<>();

    OperationSteps(NodeActivities nodes, WaitAttribution attribution) {
        this.nodes = nodes;
        this.attribution = attribution;
    }

    /** Ends the current step of an operation and charges its time. */
    void end(OperationTimer timer, double now) {
        double length = Math.max(0, now - timer.stepStartedAt);
        if (length > 0 && !timer.hasEnded) {
            timer.addStep(timer.component, timer.node, length);
            attribution.charge(timer, timer.component, length, now);
        }
        timer.stepStartedAt = now;
    }

    /** Starts a step in a component, at or for a node (0: none). */
    void start(OperationTimer timer, LatencyComponent component, int node) {
        timer.component = component;
        if (timer.node != node || timer.activity == null) {
            timer.node = node;
            timer.activity = node == 0 ? null : nodes.get(node);
        }
        if (!waitsBehindOthers(timer)) {
            releaseTable(timer);
            return;
        }
        if (timer.workAhead == null) {
            timer.workAhead = tablePool.isEmpty() ? new OutstandingWork() : tablePool.pop();
        }
        timer.workAhead.copyFrom(node == 0 ? nodes.outstanding : timer.activity.outstanding);
    }

    private static boolean waitsBehindOthers(OperationTimer timer) {
        if (timer.node != 0) {
            return timer.activity != null;
        }
        return timer.component == LatencyComponent.RESERVATION_FULL
                || timer.component == LatencyComponent.SHARE_FULL
                || timer.component == LatencyComponent.EXCESS_FULL;
    }

    /** Returns the table of units ahead of an operation to the pool. */
    void releaseTable(OperationTimer timer) {
        if (timer.workAhead != null && tablePool.size() < MAX_POOLED_TABLES) {
            tablePool.push(timer.workAhead);
        }
        timer.workAhead = null;
    }

    /** Removes the attempt in flight of an operation from the outstanding units. */
    void endAttempt(OperationTimer timer) {
        NodeActivity activity = timer.attemptActivity;
        if (activity != null) {
            activity.outstanding.add(timer.attemptKey, -timer.units);
            nodes.outstanding.add(timer.totalAttemptKey, -timer.units);
            activity.attemptEnded();
        }
        timer.attemptActivity = null;
        if (timer.hasEnded) {
            releaseTable(timer);
        }
    }
}
