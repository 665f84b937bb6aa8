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
    private static final double NS = 1e6;
    private static final double WAY_MS = 60;
    private static final int BREACHES = 5;

    private record Op(long gateway, long mark) {}

    private final SocketEventLog eventLog;
    private final SiteConfig site;
    private final List<NodeProfile> traits;
    private final double allowance;
    private final Map<Op, List<SocketEventLog.Came>> attempts = new HashMap<>();
    private final Map<Op, List<SocketEventLog.Answered>> answers = new HashMap<>();
    private final Map<Op, List<SocketEventLog.CalledOff>> callsOff = new HashMap<>();

    /** Still is how many milliseconds the machine stood still in all. */
    public RuleChecker(
            SocketEventLog eventLog, SiteConfig site, List<NodeProfile> traits, double still) {
        this.eventLog = eventLog;
        this.site = site;
        this.traits = traits;
        this.allowance = WAY_MS + still;
        for (SocketEventLog.Came came : eventLog.came) {
            attempts.computeIfAbsent(
                            new Op(came.gateway(), came.send().operationId()),
                            any -> new ArrayList<>())
                    .add(came);
        }
        for (SocketEventLog.Answered answer : eventLog.answered) {
            answers.computeIfAbsent(
                            new Op(answer.gateway(), answer.mark()), any -> new ArrayList<>())
                    .add(answer);
        }
        for (SocketEventLog.CalledOff off : eventLog.calledOff) {
            callsOff.computeIfAbsent(new Op(off.gateway(), off.mark()), any -> new ArrayList<>())
                    .add(off);
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
            if (breaches.size() < BREACHES) {
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
        Map<String, List<SocketEventLog.Asked>> byExtent = new HashMap<>();
        for (SocketEventLog.Asked asked : eventLog.asked) {
            double patience = site.deployment().trafficClasses().get(asked.band).deadline();
            for (long extent = asked.offset / site.extentBytes();
                    extent <= (asked.offset + asked.length - 1) / site.extentBytes();
                    extent++) {
                byExtent.computeIfAbsent(
                                key(asked.gateway, asked.volume, extent), any -> new ArrayList<>())
                        .add(asked);
            }
            if (asked.cut) {
                continue;
            }
            owed++;
            double took = (asked.ended - asked.sent) / NS;
            if (asked.replies != 1) {
                findings.breach(
                        asked.replies
                                + " final answers to a "
                                + asked.kind
                                + " at "
                                + asked.offset);
            } else {
                least = Math.min(least, patience - took);
                if (took > patience + site.deployment().policy().answerGrace() + allowance) {
                    findings.breach("answered after " + round(took) + " ms of " + round(patience));
                }
            }
        }
        for (SocketEventLog.Came came : eventLog.came) {
            StoreMessages.Send send = came.send();
            if (send.kind() == StoreMessages.Kind.FLUSH) {
                continue;
            }
            long at = send.extent() * site.extentBytes() + send.offset();
            boolean open =
                    byExtent
                            .getOrDefault(
                                    key(came.gateway(), send.volume(), send.extent()), List.of())
                            .stream()
                            .anyMatch(
                                    asked ->
                                            asked.kind == send.kind()
                                                    && asked.offset < at + send.length()
                                                    && at < asked.offset + asked.length
                                                    && asked.sent <= came.at()
                                                    && (asked.replies == 0
                                                            || came.at()
                                                                    <= asked.ended
                                                                            + allowance * NS));
            if (!open) {
                findings.breach(
                        "hop "
                                + send.attemptNumber()
                                + " of operation "
                                + send.operationId()
                                + " came to node "
                                + came.node()
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
        Map<Op, Integer> runs = new HashMap<>();
        for (SocketEventLog.Ran ran : eventLog.ran) {
            Op op = new Op(ran.gateway(), ran.send().operationId());
            int count = runs.merge(op, 1, Integer::sum);
            if (count > 1
                    && band(ran.send()).idempotency() != TrafficClass.Idempotency.IDEMPOTENT) {
                findings.breach(
                        "operation "
                                + op.mark()
                                + " of band "
                                + band(ran.send()).name()
                                + " ran "
                                + count
                                + " times");
            }
        }
        int further = 0;
        for (Map.Entry<Op, List<SocketEventLog.Came>> entry : attempts.entrySet()) {
            List<SocketEventLog.Came> sent = entry.getValue();
            for (int i = 1; i < sent.size(); i++) {
                further++;
                again(findings, entry.getKey(), sent.get(i - 1), sent.get(i));
            }
        }
        return findings.verdict(
                "2 no effect twice", further + " further hops", "each allowed by its band");
    }

    private void again(
            Findings findings, Op op, SocketEventLog.Came before, SocketEventLog.Came came) {
        TrafficClass trafficClass = band(came.send());
        SocketEventLog.Answered answer = answerTo(op, before.send().attemptNumber());
        boolean neverRan =
                answer != null
                        && !answer.lost()
                        && answer.at() <= came.at()
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
                && before.node() != came.node()) {
            findings.breach("deduplicated operation " + op.mark() + " was sent to another cell");
        }
        boolean over =
                (answer != null && answer.at() <= came.at() + allowance * NS)
                        || callsOff.getOrDefault(op, List.of()).stream()
                                .anyMatch(
                                        off ->
                                                off.number() == before.send().attemptNumber()
                                                        && off.at() <= came.at() + allowance * NS)
                        || linkEnded(before, came.at());
        if (!over && !site.deployment().policy().hedgingAllowed()) {
            findings.breach("two hops of operation " + op.mark() + " were out at once");
        }
    }

    /**
     * Whether the node of an attempt, before a time, started anew; a cut link shows as an attempt
     * never answered.
     */
    private boolean linkEnded(SocketEventLog.Came attempt, long until) {
        for (SocketEventLog.Came other : eventLog.came) {
            if (other.node() == attempt.node()
                    && other.gateway() == attempt.gateway()
                    && other.at() > until) {
                // The node was still read from by this gateway later, and never heard of a calling
                // off.
                return eventLog.started.stream()
                        .anyMatch(
                                start ->
                                        start.node() == attempt.node()
                                                && start.at() > attempt.at()
                                                && start.at() < other.at());
            }
        }
        return true;
    }

    private SocketEventLog.Answered answerTo(Op op, int number) {
        for (SocketEventLog.Answered answer : answers.getOrDefault(op, List.of())) {
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
        eventLog.told.forEach(told -> all.add(new Object[] {told.at(), told}));
        eventLog.came.forEach(came -> all.add(new Object[] {came.at(), came}));
        all.sort(Comparator.comparingLong(one -> (long) one[0]));
        double latest = Double.NEGATIVE_INFINITY;
        double grace = site.deployment().policy().drainGrace();
        for (Object[] one : all) {
            if (one[1] instanceof SocketEventLog.Told told) {
                Map<Integer, Long> gone =
                        toldAt.computeIfAbsent(told.gateway(), any -> new HashMap<>());
                Set<Integer> nodes = known.computeIfAbsent(told.gateway(), any -> new HashSet<>());
                Set<Integer> listed = new HashSet<>();
                for (DirectoryMessages.EndpointLine line : told.lines()) {
                    nodes.add(line.node());
                    listed.add(line.node());
                    if (line.phase() == DirectoryMessages.Phase.READY) {
                        gone.remove(line.node());
                    } else {
                        gone.putIfAbsent(line.node(), told.at());
                    }
                }
                if (told.whole()) {
                    nodes.stream()
                            .filter(node -> !listed.contains(node))
                            .forEach(node -> gone.putIfAbsent(node, told.at()));
                }
            } else if (one[1] instanceof SocketEventLog.Came came) {
                Long since = toldAt.getOrDefault(came.gateway(), Map.of()).get(came.node());
                if (since != null) {
                    double after = (came.at() - since) / NS;
                    latest = Math.max(latest, after);
                    if (after > grace + allowance) {
                        findings.breach(
                                "node "
                                        + came.node()
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
        for (SocketEventLog.Started start : eventLog.started) {
            if (Double.isNaN(start.unitsPerSecond()) || Double.isInfinite(start.unitsPerSecond())) {
                continue;
            }
            NodeProfile node =
                    traits.stream()
                            .filter(one -> one.id() == start.node())
                            .findFirst()
                            .orElseThrow();
            ArrayDeque<SocketEventLog.Came> window = new ArrayDeque<>();
            double units = 0;
            for (SocketEventLog.Came came : eventLog.came) {
                double age = (came.at() - start.at()) / NS;
                if (came.node() != start.node() || age < 0 || age > policy.slowStartTime()) {
                    continue;
                }
                window.add(came);
                units += came.send().units();
                while ((came.at() - window.peek().at()) / NS > policy.overloadWindow()) {
                    units -= window.poll().send().units();
                }
                double warm =
                        Math.min(
                                1,
                                node.coldShare() + (1 - node.coldShare()) * age / node.coldTime());
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
        for (SocketEventLog.Fell fell : eventLog.fell) {
            findings.breach("node " + fell.node() + " was pushed over");
        }
        return findings.verdict(
                "4 no cold node pushed over",
                "at most " + round(100 * most) + " % of what it bears",
                "100 %");
    }

    // ---- 5: order by key ----

    private RuleVerdict order() {
        Findings findings = new Findings();
        Map<String, List<Op>> byKey = new HashMap<>();
        int ordered = 0;
        for (Map.Entry<Op, List<SocketEventLog.Came>> entry : attempts.entrySet()) {
            StoreMessages.Send send = entry.getValue().get(0).send();
            if (band(send).ordered()) {
                ordered++;
                byKey.computeIfAbsent(
                                key(entry.getKey().gateway(), send.volume(), send.extent()),
                                any -> new ArrayList<>())
                        .add(entry.getKey());
            }
        }
        for (List<Op> ops : byKey.values()) {
            ops.sort(Comparator.comparingLong(Op::mark));
            for (int i = 1; i < ops.size(); i++) {
                SocketEventLog.Came first = attempts.get(ops.get(i)).get(0);
                for (SocketEventLog.Came earlier : attempts.get(ops.get(i - 1))) {
                    SocketEventLog.Answered answer =
                            answerTo(ops.get(i - 1), earlier.send().attemptNumber());
                    boolean ended =
                            (answer != null && answer.at() <= first.at())
                                    || callsOff.getOrDefault(ops.get(i - 1), List.of()).stream()
                                            .anyMatch(off -> off.at() <= first.at());
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
            for (SocketEventLog.Life life : eventLog.lives) {
                List<Long> taken = new ArrayList<>();
                for (SocketEventLog.Asked asked : eventLog.asked) {
                    if (asked.gateway == life.gateway) {
                        long parts =
                                (asked.offset + asked.length - 1) / site.extentBytes()
                                        - asked.offset / site.extentBytes()
                                        + 1;
                        for (long i = 0; i < parts; i++) {
                            taken.add(asked.sent);
                        }
                    }
                }
                List<Long> further =
                        eventLog.came.stream()
                                .filter(
                                        came ->
                                                came.gateway() == life.gateway
                                                        && came.send().attemptNumber() > 0)
                                .map(SocketEventLog.Came::at)
                                .sorted()
                                .toList();
                double window = (policy.retryBudgetWindow() + allowance) * NS;
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
                                                                                    * NS)
                                    .count();
                    long takenIn =
                            taken.stream().filter(one -> one <= at && one > at - window).count();
                    double allowed =
                            policy.retryBudgetFloor() + policy.retryBudgetRatio() * takenIn;
                    most = Math.max(most, attemptsIn / Math.max(1e-9, allowed));
                    if (attemptsIn > allowed) {
                        findings.breach(
                                "gateway "
                                        + life.index
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
            for (SocketEventLog.Came came : eventLog.came) {
                if (came.send().volume() != volume.id()
                        || came.send().attemptNumber() > 0
                        || moot(came)) {
                    continue;
                }
                if (last != Long.MIN_VALUE) {
                    level =
                            Math.min(
                                    plan.limitBurst(),
                                    level + plan.limit() * (came.at() - last) / NS / 1000);
                }
                last = came.at();
                level -= came.send().units();
                least = Math.min(least, level);
                // Two attempts that left apart may arrive together.
                if (level < -plan.limitSlack() - plan.limit() * allowance / 1000) {
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

    private boolean moot(SocketEventLog.Came came) {
        SocketEventLog.Answered answer =
                answerTo(
                        new Op(came.gateway(), came.send().operationId()),
                        came.send().attemptNumber());
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
            for (SocketEventLog.Asked asked : eventLog.asked) {
                if (asked.volume == volume.id()) {
                    TrafficClass trafficClass = site.deployment().trafficClasses().get(asked.band);
                    due += trafficClass.priorityWeight();
                    boolean good = asked.replies == 1 && asked.error == 0;
                    got +=
                            !good
                                    ? 0
                                    : (asked.ended - asked.sent) / NS
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
