package sagepulley.scenario;

import java.util.ArrayList;
import java.util.List;
import sagepulley.model.ServicePolicy;

/** Rule 6: the retries of each gateway stay within the retry budget, if one is configured. */
final class RetryBudgetRule implements Rule {
    /** Avoids a division by zero if the budget allows no retries. */
    private static final double MIN_BUDGET = 1e-9;

    @Override
    public RuleVerdict evaluate(Evidence evidence) {
        Findings findings = new Findings();
        double maxShare = 0;
        if (evidence.policy().hasRetryBudget()) {
            for (SocketEventLog.GatewayIncarnation gateway : evidence.log.incarnations) {
                maxShare = Math.max(maxShare, check(evidence, findings, gateway));
            }
        }
        return findings.verdict(
                "6 budget kept",
                evidence.policy().hasRetryBudget()
                        ? "at most " + Findings.format(100 * maxShare) + " % of the budget"
                        : "no budget configured",
                "100 %");
    }

    /** Checks one gateway. Returns the largest share of its retry budget in use at any time. */
    private static double check(
            Evidence evidence, Findings findings, SocketEventLog.GatewayIncarnation gateway) {
        ServicePolicy policy = evidence.policy();
        List<Long> operations = operationTimes(evidence, gateway.gateway);
        List<Long> retries = retryTimes(evidence, gateway.gateway);
        double retryWindowNanos = policy.retryBudgetWindow() * Evidence.NANOS_PER_MILLI;
        double operationWindowNanos =
                (policy.retryBudgetWindow() + evidence.toleranceMillis) * Evidence.NANOS_PER_MILLI;
        double maxShare = 0;
        for (long at : retries) {
            long used = countWithin(retries, at, retryWindowNanos);
            long accepted = countWithin(operations, at, operationWindowNanos);
            double allowed = policy.retryBudgetFloor() + policy.retryBudgetRatio() * accepted;
            maxShare = Math.max(maxShare, used / Math.max(MIN_BUDGET, allowed));
            if (used > allowed) {
                findings.addBreach(
                        "gateway "
                                + gateway.index
                                + " sent "
                                + used
                                + " retries within the budget window, expected at most "
                                + Findings.format(allowed));
            }
        }
        return maxShare;
    }

    /** Returns the send time of each client request, once for each extent that it touches. */
    private static List<Long> operationTimes(Evidence evidence, long gateway) {
        int extentBytes = evidence.site.extentBytes();
        List<Long> times = new ArrayList<>();
        for (SocketEventLog.ClientRequest request : evidence.log.requests) {
            if (request.gateway != gateway) {
                continue;
            }
            long last = (request.offset + request.length - 1) / extentBytes;
            for (long extent = request.offset / extentBytes; extent <= last; extent++) {
                times.add(request.sentAt);
            }
        }
        return times;
    }

    private static List<Long> retryTimes(Evidence evidence, long gateway) {
        return evidence.log.received.stream()
                .filter(
                        attempt ->
                                attempt.gateway() == gateway && attempt.send().attemptNumber() > 0)
                .map(SocketEventLog.AttemptReceived::at)
                .sorted()
                .toList();
    }

    private static long countWithin(List<Long> times, long until, double windowNanos) {
        return times.stream().filter(time -> time <= until && time > until - windowNanos).count();
    }
}
