package sagepulley.scenario;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import sagepulley.config.SiteConfig;
import sagepulley.config.VolumeSettings;
import sagepulley.model.TrafficClass;
import sagepulley.standin.NodeProfile;

/**
 * Judges how a run kept the seven rules (WIRE 9) from what was recorded at the sockets alone. Where
 * a time is judged that was taken at another socket, the way between and the stalls of the machine
 * are allowed for.
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
     * A checker for a run that is over.
     *
     * @param stallMillis how long the machine stalled
     */
    public RuleChecker(
            SocketEventLog eventLog,
            SiteConfig site,
            List<NodeProfile> profiles,
            double stallMillis) {
        this.evidence = new Evidence(eventLog, site, profiles, stallMillis);
    }

    /** The verdicts of all seven rules, in order. */
    public List<RuleVerdict> verdicts() {
        return RULES.stream().map(rule -> rule.evaluate(evidence)).toList();
    }

    /**
     * For each volume, the share of its requests, 0 to 1, that were served within their latency
     * objective; weighted by priority, with part of the weight for those served later.
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
