package sagepulley.scenario;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sagepulley.config.SiteConfig;
import sagepulley.model.ServicePolicy;
import sagepulley.model.TrafficClass;
import sagepulley.standin.NodeProfile;
import sagepulley.upstream.frame.StoreMessages;

/**
 * What was recorded at the sockets in one run, by operation, with what the rules need to judge it.
 * Immutable once made.
 */
final class Evidence {
    static final double NANOS_PER_MILLI = 1e6;

    /** How long something may be on its way between two sockets. */
    private static final double NETWORK_TOLERANCE_MILLIS = 60;

    final SocketEventLog log;
    final SiteConfig site;

    /**
     * What is allowed for where a time is judged that was taken at another socket, in milliseconds.
     */
    final double toleranceMillis;

    private final List<NodeProfile> profiles;
    private final Map<OperationKey, List<SocketEventLog.AttemptReceived>> attempts =
            new HashMap<>();
    private final Map<OperationKey, List<SocketEventLog.AttemptAnswered>> answers = new HashMap<>();
    private final Map<OperationKey, List<SocketEventLog.AttemptCancelled>> cancellations =
            new HashMap<>();

    /**
     * The evidence of a run.
     *
     * @param stallMillis how long the machine stalled
     */
    Evidence(SocketEventLog log, SiteConfig site, List<NodeProfile> profiles, double stallMillis) {
        this.log = log;
        this.site = site;
        this.profiles = profiles;
        this.toleranceMillis = NETWORK_TOLERANCE_MILLIS + stallMillis;
        for (SocketEventLog.AttemptReceived attempt : log.received) {
            attempts.computeIfAbsent(operationKey(attempt), key -> new ArrayList<>()).add(attempt);
        }
        for (SocketEventLog.AttemptAnswered answer : log.answered) {
            answers.computeIfAbsent(
                            new OperationKey(answer.gateway(), answer.operationId()),
                            key -> new ArrayList<>())
                    .add(answer);
        }
        for (SocketEventLog.AttemptCancelled cancelled : log.cancelled) {
            cancellations
                    .computeIfAbsent(
                            new OperationKey(cancelled.gateway(), cancelled.operationId()),
                            key -> new ArrayList<>())
                    .add(cancelled);
        }
    }

    static OperationKey operationKey(SocketEventLog.AttemptReceived attempt) {
        return new OperationKey(attempt.gateway(), attempt.send().operationId());
    }

    double toleranceNanos() {
        return toleranceMillis * NANOS_PER_MILLI;
    }

    ServicePolicy policy() {
        return site.deployment().policy();
    }

    /** All attempts by operation, in the order in which they came. */
    Map<OperationKey, List<SocketEventLog.AttemptReceived>> attempts() {
        return attempts;
    }

    List<SocketEventLog.AttemptCancelled> cancellations(OperationKey operation) {
        return cancellations.getOrDefault(operation, List.of());
    }

    /** The answer to one attempt of an operation; null where none was recorded. */
    SocketEventLog.AttemptAnswered answerTo(OperationKey operation, int attempt) {
        for (SocketEventLog.AttemptAnswered answer : answers.getOrDefault(operation, List.of())) {
            if (answer.attemptNumber() == attempt) {
                return answer;
            }
        }
        return null;
    }

    TrafficClass trafficClass(StoreMessages.Send send) {
        return site.deployment().trafficClasses().get(send.trafficClass());
    }

    NodeProfile profile(int node) {
        return profiles.stream().filter(profile -> profile.id() == node).findFirst().orElseThrow();
    }

    /**
     * Whether the node of an attempt, before a time, started anew; a connection that ended shows as
     * an attempt never answered.
     */
    boolean connectionEnded(SocketEventLog.AttemptReceived attempt, long until) {
        for (SocketEventLog.AttemptReceived later : log.received) {
            if (later.node() == attempt.node()
                    && later.gateway() == attempt.gateway()
                    && later.at() > until) {
                // This gateway still sent to the node afterwards, and never cancelled the attempt.
                return log.nodeStarts.stream()
                        .anyMatch(
                                start ->
                                        start.node() == attempt.node()
                                                && start.at() > attempt.at()
                                                && start.at() < later.at());
            }
        }
        return true;
    }
}
