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
 * Indexes the traffic recorded in one run by operation and holds the configuration that the rules
 * check it against. Immutable after construction.
 */
final class Evidence {
    static final double NANOS_PER_MILLI = 1e6;

    /** The delay allowed between a write on one socket and the read on the other. */
    private static final double NETWORK_TOLERANCE_MILLIS = 60;

    final SocketEventLog log;
    final SiteConfig site;

    /** The tolerance for comparisons of times taken at different sockets, in milliseconds. */
    final double toleranceMillis;

    private final List<NodeProfile> profiles;
    private final Map<OperationKey, List<SocketEventLog.AttemptReceived>> attempts =
            new HashMap<>();
    private final Map<OperationKey, List<SocketEventLog.AttemptAnswered>> answers = new HashMap<>();
    private final Map<OperationKey, List<SocketEventLog.AttemptCancelled>> cancellations =
            new HashMap<>();

    /**
     * Indexes the recorded traffic of a run.
     *
     * @param stallMillis the stalls of the run, see {@link StallDetector#worstStallMillis}
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

    /** Returns all attempts by operation, in order of arrival. */
    Map<OperationKey, List<SocketEventLog.AttemptReceived>> attempts() {
        return attempts;
    }

    List<SocketEventLog.AttemptCancelled> cancellations(OperationKey operation) {
        return cancellations.getOrDefault(operation, List.of());
    }

    /** Returns the answer to an attempt of an operation, or null if none was recorded. */
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
     * Returns whether the connection of an attempt may have ended by the given time.
     *
     * <p>True if the gateway sent nothing to the node after that time, or if the node restarted
     * between the attempt and the gateway's next attempt at the node after that time.
     */
    boolean connectionEnded(SocketEventLog.AttemptReceived attempt, long until) {
        for (SocketEventLog.AttemptReceived later : log.received) {
            if (later.node() == attempt.node()
                    && later.gateway() == attempt.gateway()
                    && later.at() > until) {
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
