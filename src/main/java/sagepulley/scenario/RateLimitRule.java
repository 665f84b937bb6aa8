package sagepulley.scenario;

import sagepulley.config.VolumeSettings;
import sagepulley.model.TenantPlan;
import sagepulley.upstream.frame.StoreMessages;

/** Rule 7: no volume exceeds the rate limit of its tenant plan. */
final class RateLimitRule implements Rule {
    private static final double MILLIS_PER_SECOND = 1000;

    @Override
    public RuleVerdict evaluate(Evidence evidence) {
        Findings findings = new Findings();
        double minLevel = Double.POSITIVE_INFINITY;
        for (VolumeSettings volume : evidence.site.volumes()) {
            TenantPlan plan = evidence.site.deployment().plans().get(volume.plan());
            if (plan.limit() > 0) {
                minLevel = Math.min(minLevel, check(evidence, findings, volume, plan));
            }
        }
        return findings.verdict(
                "7 limits kept",
                minLevel == Double.POSITIVE_INFINITY
                        ? "no rate limits apply"
                        : "bucket level at least " + Findings.format(minLevel) + " units",
                "-slack");
    }

    /** Checks one volume. Returns the lowest level of its token bucket; infinity if unused. */
    private static double check(
            Evidence evidence, Findings findings, VolumeSettings volume, TenantPlan plan) {
        // Attempts sent at different times may arrive together after a delay.
        double minAllowed =
                -plan.limitSlack() - plan.limit() * evidence.toleranceMillis / MILLIS_PER_SECOND;
        double minLevel = Double.POSITIVE_INFINITY;
        double level = plan.limitBurst();
        long last = Long.MIN_VALUE;
        for (SocketEventLog.AttemptReceived attempt : evidence.log.received) {
            if (attempt.send().volume() != volume.id()
                    || attempt.send().attemptNumber() > 0
                    || notExecuted(evidence, attempt)) {
                continue;
            }
            if (last != Long.MIN_VALUE) {
                double refill =
                        plan.limit()
                                * (attempt.at() - last)
                                / Evidence.NANOS_PER_MILLI
                                / MILLIS_PER_SECOND;
                level = Math.min(plan.limitBurst(), level + refill);
            }
            last = attempt.at();
            level -= attempt.send().units();
            minLevel = Math.min(minLevel, level);
            if (level < minAllowed) {
                findings.addBreach(
                        "volume "
                                + volume.name()
                                + " is "
                                + Findings.format(-level)
                                + " units over its rate limit");
            }
        }
        return minLevel;
    }

    private static boolean notExecuted(Evidence evidence, SocketEventLog.AttemptReceived attempt) {
        SocketEventLog.AttemptAnswered answer =
                evidence.answerTo(Evidence.operationKey(attempt), attempt.send().attemptNumber());
        return answer != null
                && (answer.code() == StoreMessages.Code.NOT_EXECUTED
                        || answer.code() == StoreMessages.Code.STALE_WRITE_TOKEN);
    }
}
