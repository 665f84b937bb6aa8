package sagepulley.scenario;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sagepulley.model.TrafficClass;
import sagepulley.upstream.frame.StoreMessages;

/** Rule 2: no operation has its effect twice, unless its traffic class is idempotent. */
final class SingleEffectRule implements Rule {
    @Override
    public RuleVerdict judge(Evidence evidence) {
        Findings findings = new Findings();
        checkExecutions(evidence, findings);
        int retries = 0;
        for (Map.Entry<OperationKey, List<SocketEventLog.AttemptReceived>> entry :
                evidence.attempts().entrySet()) {
            List<SocketEventLog.AttemptReceived> attempts = entry.getValue();
            for (int i = 1; i < attempts.size(); i++) {
                retries++;
                checkRetry(
                        evidence, findings, entry.getKey(), attempts.get(i - 1), attempts.get(i));
            }
        }
        return findings.verdict(
                "2 no effect twice", retries + " further hops", "each allowed by its band");
    }

    private static void checkExecutions(Evidence evidence, Findings findings) {
        Map<OperationKey, Integer> executions = new HashMap<>();
        for (SocketEventLog.OperationExecuted executed : evidence.log.executed) {
            OperationKey operation =
                    new OperationKey(executed.gateway(), executed.send().operationId());
            int count = executions.merge(operation, 1, Integer::sum);
            TrafficClass trafficClass = evidence.trafficClass(executed.send());
            if (count > 1 && trafficClass.idempotency() != TrafficClass.Idempotency.IDEMPOTENT) {
                findings.breach(
                        "operation "
                                + operation.mark()
                                + " of band "
                                + trafficClass.name()
                                + " ran "
                                + count
                                + " times");
            }
        }
    }

    private static void checkRetry(
            Evidence evidence,
            Findings findings,
            OperationKey operation,
            SocketEventLog.AttemptReceived before,
            SocketEventLog.AttemptReceived retry) {
        TrafficClass trafficClass = evidence.trafficClass(retry.send());
        SocketEventLog.AttemptAnswered answer =
                evidence.answerTo(operation, before.send().attemptNumber());
        if (neverExecuted(answer, retry)) {
            return;
        }
        if (trafficClass.idempotency() == TrafficClass.Idempotency.NON_IDEMPOTENT) {
            findings.breach(
                    "unrepeatable operation "
                            + operation.mark()
                            + " was sent again though it may have run");
        } else if (trafficClass.idempotency() == TrafficClass.Idempotency.DEDUPLICATED
                && trafficClass.deduplicationScope() == TrafficClass.DeduplicationScope.CELL
                && before.node() != retry.node()) {
            findings.breach(
                    "deduplicated operation " + operation.mark() + " was sent to another cell");
        }
        if (!isOver(evidence, operation, before, answer, retry)
                && !evidence.policy().hedgingAllowed()) {
            findings.breach("two hops of operation " + operation.mark() + " were out at once");
        }
    }

    /** Whether the node had answered, before the retry came, that it did not execute it. */
    private static boolean neverExecuted(
            SocketEventLog.AttemptAnswered answer, SocketEventLog.AttemptReceived retry) {
        return answer != null
                && !answer.lost()
                && answer.at() <= retry.at()
                && answer.code() != StoreMessages.Code.SERVED
                && answer.code() != StoreMessages.Code.FAILED
                && answer.code() != StoreMessages.Code.CANCELLED;
    }

    /** Whether the attempt before was answered, cancelled or cut off when the retry came. */
    private static boolean isOver(
            Evidence evidence,
            OperationKey operation,
            SocketEventLog.AttemptReceived before,
            SocketEventLog.AttemptAnswered answer,
            SocketEventLog.AttemptReceived retry) {
        double latest = retry.at() + evidence.allowanceNanos();
        if (answer != null && answer.at() <= latest) {
            return true;
        }
        return evidence.cancellations(operation).stream()
                        .anyMatch(
                                cancelled ->
                                        cancelled.number() == before.send().attemptNumber()
                                                && cancelled.at() <= latest)
                || evidence.connectionEnded(before, retry.at());
    }
}
