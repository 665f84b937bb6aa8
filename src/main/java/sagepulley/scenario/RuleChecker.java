package sagepulley.scenario;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import sagepulley.config.SiteConfig;
import sagepulley.config.VolumeSettings;
import sagepulley.discovery.directory.DirectoryMessages;
import sagepulley.model.ServicePolicy;
import sagepulley.model.TenantPlan;
import sagepulley.model.TrafficClass;
import sagepulley.standin.NodeProfile;
import sagepulley.upstream.frame.StoreMessages;

/**
 * Works out how the seven rules were kept (WIRE 9) from what was noted at the sockets alone. Where
 * a time is judged that was taken at another socket, the way between and what the machine stood
 * still is allowed for.
 */
public final class RuleChecker {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double NETWORK_ALLOWANCE_MILLIS = 60;
    private static final int MAX_REPORTED_BREACHES = 5;

    private record OperationKey(long gateway, long mark) {}

    private final SocketEventLog eventLog;
    private final SiteConfig site;
    private final List<NodeProfile> profiles;
    private final double allowanceMillis;
    private final Map<OperationKey, List<SocketEventLog.AttemptReceived>> attempts =
            new HashMap<>();
    private final Map<OperationKey, List<SocketEventLog.AttemptAnswered>> answers = new HashMap<>();
    private final Map<OperationKey, List<SocketEventLog.AttemptCancelled>> cancellations =
            new HashMap<>();

    /** Still is how many milliseconds the machine stood still in all. */
    public RuleChecker(
            SocketEventLog eventLog,
            SiteConfig site,
            List<NodeProfile> profiles,
            double stallMillis) {
        this.eventLog = eventLog;
        this.site = site;
        this.profiles = profiles;
        this.allowanceMillis = NETWORK_ALLOWANCE_MILLIS + stallMillis;
        for (SocketEventLog.AttemptReceived received : eventLog.received) {
            attempts.computeIfAbsent(
                            new OperationKey(received.gateway(), received.send().operationId()),
                            any -> new ArrayList<>())
                    .add(received);
        }
        for (SocketEventLog.AttemptAnswered answer : eventLog.answered) {
            answers.computeIfAbsent(
                            new OperationKey(answer.gateway(), answer.mark()),
                            any -> new ArrayList<>())
                    .add(answer);
        }
        for (SocketEventLog.AttemptCancelled cancelled : eventLog.cancelled) {
            cancellations
                    .computeIfAbsent(
                            new OperationKey(cancelled.gateway(), cancelled.mark()),
                            any -> new ArrayList<>())
                    .add(cancelled);
        }
    }

    /** All seven, in order. */
    public List<RuleVerdict> verdicts() {
        return List.of(answered(), effects(), drains(), cold(), order(), budget(), limits());
    }

    private static final class Findings {
        final List<String> breaches = new ArrayList<>();
        int count;

        void breach(String what) {
            count++;
            if (breaches.size() < MAX_REPORTED_BREACHES) {
                breaches.add(what);
            }
        }

        RuleVerdict verdict(String rule, String figure, String bound) {
            return new RuleVerdict(rule, count == 0, figure, bound, breaches);
        }
    }

    // ---- 1: one final answer in time, nothing after it ----

    private RuleVerdict answered() {
        Findings findings = new Findings();
        double least = Double.POSITIVE_INFINITY;
        int owed = 0;
        Map<String, List<SocketEventLog.ClientRequest>> byExtent = new HashMap<>();
        for (SocketEventLog.ClientRequest request : eventLog.requests) {
            double patience =
                    site.deployment().trafficClasses().get(request.trafficClass).deadline();
            for (long extent = request.offset / site.extentBytes();
                    extent <= (request.offset + request.length - 1) / site.extentBytes();
                    extent++) {
                byExtent.computeIfAbsent(
                                key(request.gateway, request.volume, extent),
                                any -> new ArrayList<>())
                        .add(request);
            }
            if (request.connectionLost) {
                continue;
            }
            owed++;
            double took = (request.endedAt - request.sentAt) / NANOS_PER_MILLI;
            if (request.replies != 1) {
                findings.breach(
                        request.replies
                                + " final answers to a "
                                + request.kind
                                + " at "
                                + request.offset);
            } else {
                least = Math.min(least, patience - took);
                if (took > patience + site.deployment().policy().answerGrace() + allowanceMillis) {
                    findings.breach("answered after " + round(took) + " ms of " + round(patience));
                }
            }
        }
        for (SocketEventLog.AttemptReceived received : eventLog.received) {
            StoreMessages.Send send = received.send();
            if (send.kind() == StoreMessages.Kind.FLUSH) {
                continue;
            }
            long at = send.extent() * site.extentBytes() + send.offset();
            boolean open =
                    byExtent
                            .getOrDefault(
                                    key(received.gateway(), send.volume(), send.extent()),
                                    List.of())
                            .stream()
                            .anyMatch(
                                    request ->
                                            request.kind == send.kind()
                                                    && request.offset < at + send.length()
                                                    && at < request.offset + request.length
                                                    && request.sentAt <= received.at()
                                                    && (request.replies == 0
                                                            || received.at()
                                                                    <= request.endedAt
                                                                            + allowanceMillis
                                                                                    * NANOS_PER_MILLI));
            if (!open) {
                findings.breach(
                        "hop "
                                + send.attemptNumber()
                                + " of operation "
                                + send.operationId()
                                + " came to node "
                                + received.node()
                                + " with nobody waiting for it");
            }
        }
        return findings.verdict(
                "1 one final answer, in time",
                owed + " owed, at least " + round(least) + " ms of patience left",
                "0 ms");
    }

    private static String key(long gateway, int volume, long extent) {
        return gateway + "/" + volume + "/" + extent;
    }

    // ---- 2: no effect twice ----

    private RuleVerdict effects() {
        Findings findings = new Findings();
        Map<OperationKey, Integer> runs = new HashMap<>();
        for (SocketEventLog.OperationExecuted executed : eventLog.executed) {
            OperationKey op = new OperationKey(executed.gateway(), executed.send().operationId());
            int count = runs.merge(op, 1, Integer::sum);
            if (count > 1
                    && band(executed.send()).idempotency() != TrafficClass.Idempotency.IDEMPOTENT) {
                findings.breach(
                        "operation "
                                + op.mark()
                                + " of band "
                                + band(executed.send()).name()
                                + " ran "
                                + count
                                + " times");
            }
        }
        int further = 0;
        for (Map.Entry<OperationKey, List<SocketEventLog.AttemptReceived>> entry :
                attempts.entrySet()) {
            List<SocketEventLog.AttemptReceived> sent = entry.getValue();
            for (int i = 1; i < sent.size(); i++) {
                further++;
                again(findings, entry.getKey(), sent.get(i - 1), sent.get(i));
            }
        }
        return findings.verdict(
                "2 no effect twice", further + " further hops", "each allowed by its band");
    }

    private void again(
            Findings findings,
            OperationKey op,
            SocketEventLog.AttemptReceived before,
            SocketEventLog.AttemptReceived received) {
        TrafficClass trafficClass = band(received.send());
        SocketEventLog.AttemptAnswered answer = answerTo(op, before.send().attemptNumber());
        boolean neverRan =
                answer != null
                        && !answer.lost()
                        && answer.at() <= received.at()
                        && answer.code() != StoreMessages.Code.SERVED
                        && answer.code() != StoreMessages.Code.FAILED
                        && answer.code() != StoreMessages.Code.CANCELLED;
        if (neverRan) {
            return;
        }
        if (trafficClass.idempotency() == TrafficClass.Idempotency.NON_IDEMPOTENT) {
            findings.breach(
                    "unrepeatable operation "
                            + op.mark()
                            + " was sent again though it may have run");
        } else if (trafficClass.idempotency() == TrafficClass.Idempotency.DEDUPLICATED
                && trafficClass.deduplicationScope() == TrafficClass.DeduplicationScope.CELL
                && before.node() != received.node()) {
            findings.breach("deduplicated operation " + op.mark() + " was sent to another cell");
        }
        boolean over =
                (answer != null && answer.at() <= received.at() + allowanceMillis * NANOS_PER_MILLI)
                        || cancellations.getOrDefault(op, List.of()).stream()
                                .anyMatch(
                                        cancelled ->
                                                cancelled.number() == before.send().attemptNumber()
                                                        && cancelled.at()
                                                                <= received.at()
                                                                        + allowanceMillis
                                                                                * NANOS_PER_MILLI)
                        || linkEnded(before, received.at());
        if (!over && !site.deployment().policy().hedgingAllowed()) {
            findings.breach("two hops of operation " + op.mark() + " were out at once");
        }
    }

    /**
     * Whether the node of an attempt, before a time, started anew; a cut link shows as an attempt
     * never answered.
     */
    private boolean linkEnded(SocketEventLog.AttemptReceived attempt, long until) {
        for (SocketEventLog.AttemptReceived other : eventLog.received) {
            if (other.node() == attempt.node()
                    && other.gateway() == attempt.gateway()
                    && other.at() > until) {
                // The node was still read from by this gateway later, and never heard of a calling

                // off.

                return eventLog.nodeStarts.stream()
                        .anyMatch(
                                start ->
                                        start.node() == attempt.node()
                                                && start.at() > attempt.at()
                                                && start.at() < other.at());
            }
        }
        return true;
    }

    private SocketEventLog.AttemptAnswered answerTo(OperationKey op, int number) {
        for (SocketEventLog.AttemptAnswered answer : answers.getOrDefault(op, List.of())) {
            if (answer.number() == number) {
                return answer;
            }
        }
        return null;
    }

    private TrafficClass band(StoreMessages.Send send) {
        return site.deployment().trafficClasses().get(send.trafficClass());
    }

    // ---- 3: drains ----

    private RuleVerdict drains() {
        Findings findings = new Findings();
        Map<Long, Map<Integer, Long>> toldAt = new HashMap<>();
        Map<Long, Set<Integer>> known = new HashMap<>();
        List<Object[]> all = new ArrayList<>();
        eventLog.listsSent.forEach(list -> all.add(new Object[] {list.at(), list}));
        eventLog.received.forEach(received -> all.add(new Object[] {received.at(), received}));
        all.sort(Comparator.comparingLong(one -> (long) one[0]));
        double latest = Double.NEGATIVE_INFINITY;
        double grace = site.deployment().policy().drainGrace();
        for (Object[] one : all) {
            if (one[1] instanceof SocketEventLog.EndpointListSent list) {
                Map<Integer, Long> gone =
                        toldAt.computeIfAbsent(list.gateway(), any -> new HashMap<>());
                Set<Integer> nodes = known.computeIfAbsent(list.gateway(), any -> new HashSet<>());
                Set<Integer> listed = new HashSet<>();
                for (DirectoryMessages.EndpointLine line : list.lines()) {
                    nodes.add(line.node());
                    listed.add(line.node());
                    if (line.phase() == DirectoryMessages.Phase.READY) {
                        gone.remove(line.node());
                    } else {
                        gone.putIfAbsent(line.node(), list.at());
                    }
                }
                if (list.complete()) {
                    nodes.stream()
                            .filter(node -> !listed.contains(node))
                            .forEach(node -> gone.putIfAbsent(node, list.at()));
                }
            } else if (one[1] instanceof SocketEventLog.AttemptReceived received) {
                Long since = toldAt.getOrDefault(received.gateway(), Map.of()).get(received.node());
                if (since != null) {
                    double after = (received.at() - since) / NANOS_PER_MILLI;
                    latest = Math.max(latest, after);
                    if (after > grace + allowanceMillis) {
                        findings.breach(
                                "node "
                                        + received.node()
                                        + " was sent to "
                                        + round(after)
                                        + " ms after its drain was told");
                    }
                }
            }
        }
        return findings.verdict(
                "3 drains kept",
                latest == Double.NEGATIVE_INFINITY
                        ? "nothing sent after"
                        : "last " + round(latest) + " ms after",
                round(grace) + " ms");
    }

    // ---- 4: cold nodes ----

    private RuleVerdict cold() {
        Findings findings = new Findings();
        ServicePolicy policy = site.deployment().policy();
        double most = 0;
        for (SocketEventLog.NodeStarted start : eventLog.nodeStarts) {
            if (Double.isNaN(start.unitsPerSecond()) || Double.isInfinite(start.unitsPerSecond())) {
                continue;
            }
            NodeProfile node =
                    profiles.stream()
                            .filter(one -> one.id() == start.node())
                            .findFirst()
                            .orElseThrow();
            ArrayDeque<SocketEventLog.AttemptReceived> window = new ArrayDeque<>();
            double units = 0;
            for (SocketEventLog.AttemptReceived received : eventLog.received) {
                double age = (received.at() - start.at()) / NANOS_PER_MILLI;
                if (received.node() != start.node() || age < 0 || age > policy.slowStartTime()) {
                    continue;
                }
                window.add(received);
                units += received.send().units();
                while ((received.at() - window.peek().at()) / NANOS_PER_MILLI
                        > policy.overloadWindow()) {
                    units -= window.poll().send().units();
                }
                double warm =
                        Math.min(
                                1,
                                node.slowStartShare()
                                        + (1 - node.slowStartShare())
                                                * age
                                                / node.slowStartMillis());
                double borne =
                        Math.max(
                                policy.slowStartUnits(),
                                policy.overloadMultiple()
                                        * warm
                                        * start.unitsPerSecond()
                                        * policy.overloadWindow()
                                        / 1000);
                most = Math.max(most, units / borne);
            }
        }
        for (SocketEventLog.NodeCollapsed collapse : eventLog.collapses) {
            findings.breach("node " + collapse.node() + " was pushed over");
        }
        return findings.verdict(
                "4 no cold node pushed over",
                "at most " + round(100 * most) + " % of what it bears",
                "100 %");
    }

    // ---- 5: order by key ----

    private RuleVerdict order() {
        Findings findings = new Findings();
        Map<String, List<OperationKey>> byKey = new HashMap<>();
        int ordered = 0;
        for (Map.Entry<OperationKey, List<SocketEventLog.AttemptReceived>> entry :
                attempts.entrySet()) {
            StoreMessages.Send send = entry.getValue().get(0).send();
            if (band(send).ordered()) {
                ordered++;
                byKey.computeIfAbsent(
                                key(entry.getKey().gateway(), send.volume(), send.extent()),
                                any -> new ArrayList<>())
                        .add(entry.getKey());
            }
        }
        for (List<OperationKey> ops : byKey.values()) {
            ops.sort(Comparator.comparingLong(OperationKey::mark));
            for (int i = 1; i < ops.size(); i++) {
                SocketEventLog.AttemptReceived first = attempts.get(ops.get(i)).get(0);
                for (SocketEventLog.AttemptReceived earlier : attempts.get(ops.get(i - 1))) {
                    SocketEventLog.AttemptAnswered answer =
                            answerTo(ops.get(i - 1), earlier.send().attemptNumber());
                    boolean ended =
                            (answer != null && answer.at() <= first.at())
                                    || cancellations
                                            .getOrDefault(ops.get(i - 1), List.of())
                                            .stream()
                                            .anyMatch(cancelled -> cancelled.at() <= first.at());
                    if (earlier.at() > first.at() || (!ended && !linkEnded(earlier, first.at()))) {
                        findings.breach(
                                "operation "
                                        + ops.get(i).mark()
                                        + " was sent before operation "
                                        + ops.get(i - 1).mark()
                                        + " of the same key was over");
                    }
                }
            }
        }
        return findings.verdict(
                "5 order kept",
                ordered == 0 ? "no band asks for it" : ordered + " in order",
                "one at a time");
    }

    // ---- 6: budget of further attempts ----

    private RuleVerdict budget() {
        Findings findings = new Findings();
        ServicePolicy policy = site.deployment().policy();
        double most = 0;
        if (policy.hasRetryBudget()) {
            for (SocketEventLog.GatewayIncarnation incarnation : eventLog.incarnations) {
                List<Long> taken = new ArrayList<>();
                for (SocketEventLog.ClientRequest request : eventLog.requests) {
                    if (request.gateway == incarnation.gateway) {
                        long parts =
                                (request.offset + request.length - 1) / site.extentBytes()
                                        - request.offset / site.extentBytes()
                                        + 1;
                        for (long i = 0; i < parts; i++) {
                            taken.add(request.sentAt);
                        }
                    }
                }
                List<Long> further =
                        eventLog.received.stream()
                                .filter(
                                        received ->
                                                received.gateway() == incarnation.gateway
                                                        && received.send().attemptNumber() > 0)
                                .map(SocketEventLog.AttemptReceived::at)
                                .sorted()
                                .toList();
                double window = (policy.retryBudgetWindow() + allowanceMillis) * NANOS_PER_MILLI;
                for (long at : further) {
                    long attemptsIn =
                            further.stream()
                                    .filter(
                                            one ->
                                                    one <= at
                                                            && one
                                                                    > at
                                                                            - policy
                                                                                            .retryBudgetWindow()
                                                                                    * NANOS_PER_MILLI)
                                    .count();
                    long takenIn =
                            taken.stream().filter(one -> one <= at && one > at - window).count();
                    double allowed =
                            policy.retryBudgetFloor() + policy.retryBudgetRatio() * takenIn;
                    most = Math.max(most, attemptsIn / Math.max(1e-9, allowed));
                    if (attemptsIn > allowed) {
                        findings.breach(
                                "gateway "
                                        + incarnation.index
                                        + " sent "
                                        + attemptsIn
                                        + " further hops, allowed "
                                        + round(allowed));
                    }
                }
            }
        }
        return findings.verdict(
                "6 budget kept",
                policy.hasRetryBudget()
                        ? "at most " + round(100 * most) + " % of it"
                        : "none is stated",
                "100 %");
    }

    // ---- 7: limits ----

    private RuleVerdict limits() {
        Findings findings = new Findings();
        double least = Double.POSITIVE_INFINITY;
        for (VolumeSettings volume : site.volumes()) {
            TenantPlan plan = site.deployment().plans().get(volume.plan());
            if (!(plan.limit() > 0)) {
                continue;
            }
            double level = plan.limitBurst();
            long last = Long.MIN_VALUE;
            for (SocketEventLog.AttemptReceived received : eventLog.received) {
                if (received.send().volume() != volume.id()
                        || received.send().attemptNumber() > 0
                        || moot(received)) {
                    continue;
                }
                if (last != Long.MIN_VALUE) {
                    level =
                            Math.min(
                                    plan.limitBurst(),
                                    level
                                            + plan.limit()
                                                    * (received.at() - last)
                                                    / NANOS_PER_MILLI
                                                    / 1000);
                }
                last = received.at();
                level -= received.send().units();
                least = Math.min(least, level);
                // Two attempts that left apart may arrive together.

                if (level < -plan.limitSlack() - plan.limit() * allowanceMillis / 1000) {
                    findings.breach(
                            "volume "
                                    + volume.name()
                                    + " is "
                                    + round(-level)
                                    + " units past its limit");
                }
            }
        }
        return findings.verdict(
                "7 limits kept",
                least == Double.POSITIVE_INFINITY
                        ? "no volume has one"
                        : "never under " + round(least) + " units",
                "-slack");
    }

    private boolean moot(SocketEventLog.AttemptReceived received) {
        SocketEventLog.AttemptAnswered answer =
                answerTo(
                        new OperationKey(received.gateway(), received.send().operationId()),
                        received.send().attemptNumber());
        return answer != null
                && (answer.code() == StoreMessages.Code.NOT_EXECUTED
                        || answer.code() == StoreMessages.Code.STALE_WRITE_TOKEN);
    }

    // ---- service ----

    /** For each volume, the share of its requests answered well within the target time. */
    public Map<String, Double> service() {
        Map<String, Double> shares = new TreeMap<>();
        for (VolumeSettings volume : site.volumes()) {
            double due = 0;
            double got = 0;
            for (SocketEventLog.ClientRequest request : eventLog.requests) {
                if (request.volume == volume.id()) {
                    TrafficClass trafficClass =
                            site.deployment().trafficClasses().get(request.trafficClass);
                    due += trafficClass.priorityWeight();
                    boolean good = request.replies == 1 && request.error == 0;
                    got +=
                            !good
                                    ? 0
                                    : (request.endedAt - request.sentAt) / NANOS_PER_MILLI
                                                    <= trafficClass.latencyObjective()
                                            ? trafficClass.priorityWeight()
                                            : trafficClass.priorityWeight()
                                                    * trafficClass.lateWeightFraction();
                }
            }
            if (due > 0) {
                shares.put(volume.name(), got / due);
            }
        }
        return shares;
    }

    private static String round(double value) {
        return value == Double.POSITIVE_INFINITY
                ? "all"
                : String.valueOf(Math.round(value * 10) / 10.0);
    }
}
