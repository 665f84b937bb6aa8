package sagepulley.scenario;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import sagepulley.discovery.directory.DirectoryMessages;

/**
 * Rule 3: a gateway sends no attempt to a node once the drain grace has passed since the directory
 * notified the gateway that the node drains or is gone.
 */
final class DrainingRule implements Rule {
    /** The endpoint list as the directory sent it to one gateway. */
    private static final class NotifiedList {
        /** For each node listed as draining or gone, when the gateway was notified of it. */
        final Map<Integer, Long> unavailableSince = new HashMap<>();

        private final Set<Integer> known = new HashSet<>();

        void update(SocketEventLog.EndpointListSent list) {
            Set<Integer> listed = new HashSet<>();
            for (DirectoryMessages.EndpointLine line : list.lines()) {
                known.add(line.node());
                listed.add(line.node());
                if (line.phase() == DirectoryMessages.Phase.READY) {
                    unavailableSince.remove(line.node());
                } else {
                    unavailableSince.putIfAbsent(line.node(), list.at());
                }
            }
            if (list.complete()) {
                known.stream()
                        .filter(node -> !listed.contains(node))
                        .forEach(node -> unavailableSince.putIfAbsent(node, list.at()));
            }
        }
    }

    private record TimedEvent(long at, Runnable action) {}

    @Override
    public RuleVerdict evaluate(Evidence evidence) {
        Evaluator evaluator = new Evaluator(evidence);
        List<TimedEvent> events = new ArrayList<>();
        evidence.log.listsSent.forEach(
                list -> events.add(new TimedEvent(list.at(), () -> evaluator.listSent(list))));
        evidence.log.received.forEach(
                attempt ->
                        events.add(
                                new TimedEvent(attempt.at(), () -> evaluator.received(attempt))));
        events.sort(Comparator.comparingLong(TimedEvent::at));
        events.forEach(event -> event.action().run());
        return evaluator.verdict();
    }

    private static final class Evaluator {
        private final Findings findings = new Findings();
        private final Map<Long, NotifiedList> lists = new HashMap<>();
        private final double graceMillis;
        private final double toleranceMillis;
        private double maxDelayMillis = Double.NEGATIVE_INFINITY;

        Evaluator(Evidence evidence) {
            this.graceMillis = evidence.policy().drainGrace();
            this.toleranceMillis = evidence.toleranceMillis;
        }

        void listSent(SocketEventLog.EndpointListSent list) {
            lists.computeIfAbsent(list.gateway(), gateway -> new NotifiedList()).update(list);
        }

        void received(SocketEventLog.AttemptReceived attempt) {
            NotifiedList list = lists.get(attempt.gateway());
            Long since = list == null ? null : list.unavailableSince.get(attempt.node());
            if (since == null) {
                return;
            }
            double delayMillis = (attempt.at() - since) / Evidence.NANOS_PER_MILLI;
            maxDelayMillis = Math.max(maxDelayMillis, delayMillis);
            if (delayMillis > graceMillis + toleranceMillis) {
                findings.addBreach(
                        "node "
                                + attempt.node()
                                + " received an attempt "
                                + Findings.format(delayMillis)
                                + " ms after the gateway was notified that it drains");
            }
        }

        RuleVerdict verdict() {
            return findings.verdict(
                    "3 drains kept",
                    maxDelayMillis == Double.NEGATIVE_INFINITY
                            ? "no attempts after a drain"
                            : "last attempt " + Findings.format(maxDelayMillis) + " ms after",
                    Findings.format(graceMillis) + " ms");
        }
    }
}
