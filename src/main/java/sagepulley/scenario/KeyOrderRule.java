package sagepulley.scenario;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sagepulley.upstream.frame.StoreMessages;

/** Rule 5: ordered operations of one extent go one at a time, in their order. */
final class KeyOrderRule implements Rule {
    private record Key(long gateway, int volume, long extent) {}

    @Override
    public RuleVerdict judge(Evidence evidence) {
        Findings findings = new Findings();
        Map<Key, List<OperationKey>> byKey = new HashMap<>();
        int ordered = 0;
        for (Map.Entry<OperationKey, List<SocketEventLog.AttemptReceived>> entry :
                evidence.attempts().entrySet()) {
            StoreMessages.Send send = entry.getValue().get(0).send();
            if (evidence.trafficClass(send).ordered()) {
                ordered++;
                Key key = new Key(entry.getKey().gateway(), send.volume(), send.extent());
                byKey.computeIfAbsent(key, any -> new ArrayList<>()).add(entry.getKey());
            }
        }
        for (List<OperationKey> operations : byKey.values()) {
            operations.sort(Comparator.comparingLong(OperationKey::mark));
            for (int i = 1; i < operations.size(); i++) {
                check(evidence, findings, operations.get(i - 1), operations.get(i));
            }
        }
        return findings.verdict(
                "5 order kept",
                ordered == 0 ? "no band asks for it" : ordered + " in order",
                "one at a time");
    }

    private static void check(
            Evidence evidence, Findings findings, OperationKey earlier, OperationKey later) {
        SocketEventLog.AttemptReceived first = evidence.attempts().get(later).get(0);
        for (SocketEventLog.AttemptReceived attempt : evidence.attempts().get(earlier)) {
            if (attempt.at() > first.at() || !isOver(evidence, earlier, attempt, first.at())) {
                findings.breach(
                        "operation "
                                + later.mark()
                                + " was sent before operation "
                                + earlier.mark()
                                + " of the same key was over");
            }
        }
    }

    private static boolean isOver(
            Evidence evidence,
            OperationKey operation,
            SocketEventLog.AttemptReceived attempt,
            long by) {
        SocketEventLog.AttemptAnswered answer =
                evidence.answerTo(operation, attempt.send().attemptNumber());
        return (answer != null && answer.at() <= by)
                || evidence.cancellations(operation).stream()
                        .anyMatch(cancelled -> cancelled.at() <= by)
                || evidence.connectionEnded(attempt, by);
    }
}
