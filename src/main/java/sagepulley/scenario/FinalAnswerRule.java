package sagepulley.scenario;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sagepulley.upstream.frame.StoreMessages;

/**
 * Rule 1: each request gets exactly one final answer before its deadline, and no attempt arrives at
 * a node after that answer.
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
                                + " request at offset "
                                + request.offset);
            } else {
                minRemainingMillis =
                        Math.min(minRemainingMillis, checkDeadline(request, evidence, findings));
            }
        }
        checkAttempts(evidence, findings);
        return findings.verdict(
                "1 one final answer, in time",
                expectedAnswers
                        + " answers due, at least "
                        + Findings.format(minRemainingMillis)
                        + " ms before the deadline",
                "0 ms");
    }

    /** Checks the time of an answer. Returns the milliseconds left until the deadline. */
    private static double checkDeadline(
            SocketEventLog.ClientRequest request, Evidence evidence, Findings findings) {
        double deadlineMillis =
                evidence.site.deployment().trafficClasses().get(request.trafficClass).deadline();
        double elapsedMillis = (request.endedAt - request.sentAt) / Evidence.NANOS_PER_MILLI;
        if (elapsedMillis
                > deadlineMillis + evidence.policy().answerGrace() + evidence.toleranceMillis) {
            findings.addBreach(
                    "answered after "
                            + Findings.format(elapsedMillis)
                            + " ms, deadline "
                            + Findings.format(deadlineMillis)
                            + " ms");
        }
        return deadlineMillis - elapsedMillis;
    }

    /** Checks that every attempt belongs to a request that was still open. */
    private static void checkAttempts(Evidence evidence, Findings findings) {
        Map<GatewayExtent, List<SocketEventLog.ClientRequest>> requests =
                requestsByExtent(evidence);
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
                        "attempt "
                                + send.attemptNumber()
                                + " of operation "
                                + send.operationId()
                                + " reached node "
                                + attempt.node()
                                + " without an open client request");
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
