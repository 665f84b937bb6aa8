package sagepulley.scenario;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sagepulley.upstream.frame.StoreMessages;

/**
 * Rule 5: ordered operations on one extent are sent in order, each after the previous one ended.
 */
final class KeyOrderRule implements Rule {
    private record OrderingKey(long gateway, int volume, long extent) {}

    @Override
    public RuleVerdict evaluate(Evidence evidence) {
        Findings findings = new Findings();
        Map<OrderingKey, List<OperationKey>> byKey = new HashMap<>();
        int ordered = 0;
        for (Map.Entry<OperationKey, List<SocketEventLog.AttemptReceived>> entry :
                evidence.attempts().entrySet()) {
            StoreMessages.Send send = entry.getValue().get(0).send();
            if (evidence.trafficClass(send).ordered()) {
                ordered++;
                OrderingKey key =
                        new OrderingKey(entry.getKey().gateway(), send.volume(), send.extent());
                byKey.computeIfAbsent(key, unused -> new ArrayList<>()).add(entry.getKey());
            }
        }
        for (List<OperationKey> operations : byKey.values()) {
            operations.sort(Comparator.comparingLong(OperationKey::operationId));
            for (int i = 1; i < operations.size(); i++) {
                check(evidence, findings, operations.get(i - 1), operations.get(i));
            }
        }
        return findings.verdict(
                "5 order kept",
                ordered == 0 ? "no ordered operations" : ordered + " ordered operations",
                "one at a time");
    }

    private static void check(
            Evidence evidence, Findings findings, OperationKey earlier, OperationKey later) {
        SocketEventLog.AttemptReceived first = evidence.attempts().get(later).get(0);
        for (SocketEventLog.AttemptReceived attempt : evidence.attempts().get(earlier)) {
            if (attempt.at() > first.at() || !hasEnded(evidence, earlier, attempt, first.at())) {
                findings.addBreach(
                        "operation "
                                + later.operationId()
                                + " was sent before operation "
                                + earlier.operationId()
                                + " on the same extent had ended");
            }
        }
    }

    private static boolean hasEnded(
            Evidence evidence,
            OperationKey operation,
            SocketEventLog.AttemptReceived attempt,
            long untilNanos) {
        SocketEventLog.AttemptAnswered answer =
                evidence.answerTo(operation, attempt.send().attemptNumber());
        return (answer != null && answer.at() <= untilNanos)
                || evidence.cancellations(operation).stream()
                        .anyMatch(cancelled -> cancelled.at() <= untilNanos)
                || evidence.connectionEnded(attempt, untilNanos);
    }
}
