package sagepulley.scenario;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sagepulley.upstream.frame.StoreMessages;

/**
 * Rule 1: each request gets one final answer before its deadline, and no attempt comes after it.
 */
final class FinalAnswerRule implements Rule {
    private record GatewayExtent(long gateway, int volume, long extent) {}

    @Override
    public RuleVerdict evaluate(Evidence evidence) {
        Findings findings = new Findings();
        double minRemainingMillis = Double.POSITIVE_INFINITY;
        int expectedAnswers = 0;
        for (SocketEventLog.ClientRequest request : evidence.log.requests) {
            if (request.connectionLost) {
                continue;
            }
            expectedAnswers++;
            if (request.replies != 1) {
                findings.addBreach(
                        request.replies
                                + " final answers to a "
                                + request.kind
                                + " at "
                                + request.offset);
            } else {
                minRemainingMillis = Math.min(minRemainingMillis, checkDeadline(request, evidence, findings));
            }
        }
        checkAttempts(evidence, findings);
        return findings.verdict(
                "1 one final answer, in time",
                expectedAnswers + " owed, at least " + Findings.format(minRemainingMillis) + " ms of patience left",
                "0 ms");
    }

    /** Checks when a request was answered; the milliseconds that were left to its deadline. */
    private static double checkDeadline(
            SocketEventLog.ClientRequest request, Evidence evidence, Findings findings) {
        double deadline =
                evidence.site.deployment().trafficClasses().get(request.trafficClass).deadline();
        double elapsedMillis = (request.endedAt - request.sentAt) / Evidence.NANOS_PER_MILLI;
        if (elapsedMillis > deadline + evidence.policy().answerGrace() + evidence.toleranceMillis) {
            findings.addBreach(
                    "answered after "
                            + Findings.format(elapsedMillis)
                            + " ms of "
                            + Findings.format(deadline));
        }
        return deadline - elapsedMillis;
    }

    /** Every attempt must be for a request that is still open. */
    private static void checkAttempts(Evidence evidence, Findings findings) {
        Map<GatewayExtent, List<SocketEventLog.ClientRequest>> requests = requestsByExtent(evidence);
        for (SocketEventLog.AttemptReceived attempt : evidence.log.received) {
            StoreMessages.Send send = attempt.send();
            if (send.kind() == StoreMessages.Kind.FLUSH) {
                continue;
            }
            GatewayExtent extent =
                    new GatewayExtent(attempt.gateway(), send.volume(), send.extent());
            boolean isOpen =
                    requests.getOrDefault(extent, List.of()).stream()
                            .anyMatch(request -> mayBelongTo(request, attempt, evidence));
            if (!isOpen) {
                findings.addBreach(
                        "hop "
                                + send.attemptNumber()
                                + " of operation "
                                + send.operationId()
                                + " came to node "
                                + attempt.node()
                                + " with nobody waiting for it");
            }
        }
    }

    private static Map<GatewayExtent, List<SocketEventLog.ClientRequest>> requestsByExtent(
            Evidence evidence) {
        int extentBytes = evidence.site.extentBytes();
        Map<GatewayExtent, List<SocketEventLog.ClientRequest>> byExtent = new HashMap<>();
        for (SocketEventLog.ClientRequest request : evidence.log.requests) {
            long last = (request.offset + request.length - 1) / extentBytes;
            for (long extent = request.offset / extentBytes; extent <= last; extent++) {
                byExtent.computeIfAbsent(
                                new GatewayExtent(request.gateway, request.volume, extent),
                                key -> new ArrayList<>())
                        .add(request);
            }
        }
        return byExtent;
    }

    private static boolean mayBelongTo(
            SocketEventLog.ClientRequest request,
            SocketEventLog.AttemptReceived attempt,
            Evidence evidence) {
        StoreMessages.Send send = attempt.send();
        long offset = send.extent() * evidence.site.extentBytes() + send.offset();
        return request.kind == send.kind()
                && request.offset < offset + send.length()
                && offset < request.offset + request.length
                && request.sentAt <= attempt.at()
                && (request.replies == 0
                        || attempt.at() <= request.endedAt + evidence.toleranceNanos());
    }
}
