package sagepulley.scenario;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import sagepulley.config.SiteConfig;
import sagepulley.config.VolumeSettings;
import sagepulley.model.TrafficClass;
import sagepulley.standin.NodeProfile;

/**
 * Checks from the traffic recorded at the sockets whether the gateways followed the seven rules in
 * a finished run. Comparisons of times taken at different sockets include a tolerance for network
 * delay and stalls of the test process.
 */
public final class RuleChecker {
    private static final List<Rule> RULES =
            List.of(
                    new FinalAnswerRule(),
                    new SingleEffectRule(),
                    new DrainingRule(),
                    new SlowStartRule(),
                    new KeyOrderRule(),
                    new RetryBudgetRule(),
                    new RateLimitRule());

    private final Evidence evidence;

    /**
     * Creates a checker for a finished run.
     *
     * @param stallMillis the stalls of the run, see {@link StallDetector#worstStallMillis}
     */
    public RuleChecker(
            SocketEventLog eventLog,
            SiteConfig site,
            List<NodeProfile> profiles,
            double stallMillis) {
        this.evidence = new Evidence(eventLog, site, profiles, stallMillis);
    }

    /** Returns the verdicts on all seven rules, in order. */
    public List<RuleVerdict> verdicts() {
        return RULES.stream().map(rule -> rule.evaluate(evidence)).toList();
    }

    /**
     * Returns for each volume the share of its requests that were served within their latency
     * objective, 0 to 1. Requests are weighted by priority, and a request served later counts with
     * a fraction of its weight.
     */
    public Map<String, Double> service() {
        Map<String, Double> shares = new TreeMap<>();
        for (VolumeSettings volume : evidence.site.volumes()) {
            double totalWeight = 0;
            double servedWeight = 0;
            for (SocketEventLog.ClientRequest request : evidence.log.requests) {
                if (request.volume == volume.id()) {
                    TrafficClass trafficClass =
                            evidence.site.deployment().trafficClasses().get(request.trafficClass);
                    totalWeight += trafficClass.priorityWeight();
                    servedWeight += servedPriorityWeight(request, trafficClass);
                }
            }
            if (totalWeight > 0) {
                shares.put(volume.name(), servedWeight / totalWeight);
            }
        }
        return shares;
    }

    private static double servedPriorityWeight(
            SocketEventLog.ClientRequest request, TrafficClass trafficClass) {
        if (request.replies != 1 || request.error != 0) {
            return 0;
        }
        double elapsedMillis = (request.endedAt - request.sentAt) / Evidence.NANOS_PER_MILLI;
        return elapsedMillis <= trafficClass.latencyObjective()
                ? trafficClass.priorityWeight()
                : trafficClass.priorityWeight() * trafficClass.lateWeightFraction();
    }
}
