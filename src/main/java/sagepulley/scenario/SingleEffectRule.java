package sagepulley.scenario;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sagepulley.model.TrafficClass;
import sagepulley.upstream.frame.StoreMessages;

/** Rule 2: no operation takes effect twice, unless its traffic class is idempotent. */
final class SingleEffectRule implements Rule {
    @Override
    public RuleVerdict evaluate(Evidence evidence) {
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
                "2 no effect twice", retries + " retries", "each allowed by its traffic class");
    }

    private static void checkExecutions(Evidence evidence, Findings findings) {
        Map<OperationKey, Integer> executions = new HashMap<>();
        for (SocketEventLog.OperationExecuted executed : evidence.log.executed) {
            OperationKey operation =
                    new OperationKey(executed.gateway(), executed.send().operationId());
            int count = executions.merge(operation, 1, Integer::sum);
            TrafficClass trafficClass = evidence.trafficClass(executed.send());
            if (count > 1 && trafficClass.idempotency() != TrafficClass.Idempotency.IDEMPOTENT) {
                findings.addBreach(
                        "operation "
                                + operation.operationId()
                                + " of traffic class "
                                + trafficClass.name()
                                + " executed "
                                + count
                                + " times");
            }
        }
    }

    private static void checkRetry(
            Evidence evidence,
            Findings findings,
            OperationKey operation,
            SocketEventLog.AttemptReceived previous,
            SocketEventLog.AttemptReceived retry) {
        TrafficClass trafficClass = evidence.trafficClass(retry.send());
        SocketEventLog.AttemptAnswered answer =
                evidence.answerTo(operation, previous.send().attemptNumber());
        if (neverExecuted(answer, retry)) {
            return;
        }
        if (trafficClass.idempotency() == TrafficClass.Idempotency.NON_IDEMPOTENT) {
            findings.addBreach(
                    "non-idempotent operation "
                            + operation.operationId()
                            + " was retried although it may have executed");
        } else if (trafficClass.idempotency() == TrafficClass.Idempotency.DEDUPLICATED
                && trafficClass.deduplicationScope() == TrafficClass.DeduplicationScope.CELL
                && previous.node() != retry.node()) {
            findings.addBreach(
                    "deduplicated operation "
                            + operation.operationId()
                            + " was sent to another cell");
        }
        if (!hasEnded(evidence, operation, previous, answer, retry)
                && !evidence.policy().hedgingAllowed()) {
            findings.addBreach(
                    "two attempts of operation "
                            + operation.operationId()
                            + " were in flight at once");
        }
    }

    /**
     * Returns whether the node had answered, before the retry arrived, that it did not execute the
     * operation.
     */
    private static boolean neverExecuted(
            SocketEventLog.AttemptAnswered answer, SocketEventLog.AttemptReceived retry) {
        return answer != null
                && !answer.lost()
                && answer.at() <= retry.at()
                && answer.code() != StoreMessages.Code.SERVED
                && answer.code() != StoreMessages.Code.FAILED
                && answer.code() != StoreMessages.Code.CANCELLED;
    }

    /**
     * Returns whether the previous attempt had ended when the retry arrived: by an answer, by its
     * cancellation or with its connection.
     */
    private static boolean hasEnded(
            Evidence evidence,
            OperationKey operation,
            SocketEventLog.AttemptReceived previous,
            SocketEventLog.AttemptAnswered answer,
            SocketEventLog.AttemptReceived retry) {
        double latestNanos = retry.at() + evidence.toleranceNanos();
        if (answer != null && answer.at() <= latestNanos) {
            return true;
        }
        return evidence.cancellations(operation).stream()
                        .anyMatch(
                                cancelled ->
                                        cancelled.attemptNumber() == previous.send().attemptNumber()
                                                && cancelled.at() <= latestNanos)
                || evidence.connectionEnded(previous, retry.at());
    }
}
