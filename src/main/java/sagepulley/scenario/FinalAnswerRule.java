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
    public RuleVerdict judge(Evidence evidence) {
        Findings findings = new Findings();
        double minLeftMillis = Double.POSITIVE_INFINITY;
        int due = 0;
        for (SocketEventLog.ClientRequest request : evidence.log.requests) {
            if (request.connectionLost) {
                continue;
            }
            due++;
            if (request.replies != 1) {
                findings.breach(
                        request.replies
                                + " final answers to a "
                                + request.kind
                                + " at "
                                + request.offset);
            } else {
                minLeftMillis = Math.min(minLeftMillis, checkTime(request, evidence, findings));
            }
        }
        checkAttempts(evidence, findings);
        return findings.verdict(
                "1 one final answer, in time",
                due + " owed, at least " + Findings.round(minLeftMillis) + " ms of patience left",
                "0 ms");
    }

    /** Checks when a request was answered; the milliseconds that were left to its deadline. */
    private static double checkTime(
            SocketEventLog.ClientRequest request, Evidence evidence, Findings findings) {
        double deadline =
                evidence.site.deployment().trafficClasses().get(request.trafficClass).deadline();
        double took = (request.endedAt - request.sentAt) / Evidence.NANOS_PER_MILLI;
        if (took > deadline + evidence.policy().answerGrace() + evidence.allowanceMillis) {
            findings.breach(
                    "answered after "
                            + Findings.round(took)
                            + " ms of "
                            + Findings.round(deadline));
        }
        return deadline - took;
    }

    /** Every attempt must be for a request that is still open. */
    private static void checkAttempts(Evidence evidence, Findings findings) {
        Map<GatewayExtent, List<SocketEventLog.ClientRequest>> requests = byExtent(evidence);
        for (SocketEventLog.AttemptReceived attempt : evidence.log.received) {
            StoreMessages.Send send = attempt.send();
            if (send.kind() == StoreMessages.Kind.FLUSH) {
                continue;
            }
            GatewayExtent extent =
                    new GatewayExtent(attempt.gateway(), send.volume(), send.extent());
            boolean open =
                    requests.getOrDefault(extent, List.of()).stream()
                            .anyMatch(request -> mayCause(request, attempt, evidence));
            if (!open) {
                findings.breach(
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

    private static Map<GatewayExtent, List<SocketEventLog.ClientRequest>> byExtent(
            Evidence evidence) {
        int extentBytes = evidence.site.extentBytes();
        Map<GatewayExtent, List<SocketEventLog.ClientRequest>> byExtent = new HashMap<>();
        for (SocketEventLog.ClientRequest request : evidence.log.requests) {
            long last = (request.offset + request.length - 1) / extentBytes;
            for (long extent = request.offset / extentBytes; extent <= last; extent++) {
                byExtent.computeIfAbsent(
                                new GatewayExtent(request.gateway, request.volume, extent),
                                any -> new ArrayList<>())
                        .add(request);
            }
        }
        return byExtent;
    }

    private static boolean mayCause(
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
                        || attempt.at() <= request.endedAt + evidence.allowanceNanos());
    }
}
