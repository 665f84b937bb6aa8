package sagepulley.scenario;

import java.util.ArrayDeque;
import java.util.Queue;
import sagepulley.model.ServicePolicy;
import sagepulley.standin.NodeProfile;

/** Rule 4: no node collapses under overload during its slow start. */
final class SlowStartRule implements Rule {
    private static final double MILLIS_PER_SECOND = 1000;

    @Override
    public RuleVerdict evaluate(Evidence evidence) {
        double maxShare = 0;
        for (SocketEventLog.NodeStarted start : evidence.log.nodeStarts) {
            if (Double.isFinite(start.unitsPerSecond())) {
                maxShare = Math.max(maxShare, maxLoadShare(evidence, start));
            }
        }
        Findings findings = new Findings();
        for (SocketEventLog.NodeCollapsed collapse : evidence.log.collapses) {
            findings.addBreach(
                    "node " + collapse.node() + " collapsed under overload during its slow start");
        }
        return findings.verdict(
                "4 no cold node pushed over",
                "at most " + Findings.format(100 * maxShare) + " % of the collapse threshold",
                "100 %");
    }

    /**
     * Returns the highest load of a node during a slow start, as a share of the load at which it
     * collapses at that time.
     */
    private static double maxLoadShare(Evidence evidence, SocketEventLog.NodeStarted start) {
        ServicePolicy policy = evidence.policy();
        NodeProfile node = evidence.profile(start.node());
        Queue<SocketEventLog.AttemptReceived> window = new ArrayDeque<>();
        double units = 0;
        double max = 0;
        for (SocketEventLog.AttemptReceived attempt : evidence.log.received) {
            double ageMillis = millisBetween(start.at(), attempt.at());
            if (attempt.node() != start.node()
                    || ageMillis < 0
                    || ageMillis > policy.slowStartTime()) {
                continue;
            }
            window.add(attempt);
            units += attempt.send().units();
            while (millisBetween(window.peek().at(), attempt.at()) > policy.overloadWindow()) {
                units -= window.poll().send().units();
            }
            double thresholdUnits =
                    collapseThresholdUnits(policy, node, start.unitsPerSecond(), ageMillis);
            max = Math.max(max, units / thresholdUnits);
        }
        return max;
    }

    /** Returns the units within the overload window above which a node of that age collapses. */
    private static double collapseThresholdUnits(
            ServicePolicy policy, NodeProfile node, double unitsPerSecond, double ageMillis) {
        double capacityShare =
                Math.min(
                        1,
                        node.slowStartShare()
                                + (1 - node.slowStartShare()) * ageMillis / node.slowStartMillis());
        return Math.max(
                policy.slowStartUnits(),
                policy.overloadMultiple()
                        * capacityShare
                        * unitsPerSecond
                        * policy.overloadWindow()
                        / MILLIS_PER_SECOND);
    }

    private static double millisBetween(long fromNanos, long toNanos) {
        return (toNanos - fromNanos) / Evidence.NANOS_PER_MILLI;
    }
}
