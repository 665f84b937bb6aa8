package sagepulley.accounts;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import sagepulley.model.ExternalName;
import sagepulley.model.Outcome;
import sagepulley.model.QuotaTier;
import sagepulley.model.Reason;
import sagepulley.model.TrafficClass;

/**
 * Accounts of latency by volume: where each operation's time went, without remainder, and who it
 * waited behind. No I/O and no clock; times are milliseconds handed in. Memory is bounded, whatever
 * comes, by so many volumes (the rest share one account, number 0), so many windows in all (detail
 * is given up first where nothing happened for longest) and so many nodes.
 */
public final class Accounts {
    /**
     * The most that is kept: volumes with an account of their own, windows of all volumes, nodes.
     */
    public record Bounds(int volumes, int windows, int nodes) {
        public static final Bounds DEFAULT = new Bounds(10_000, 40_000, 512);

        /** Keeps no accounts at all: no operation gets a meter. */
        public static final Bounds NONE = new Bounds(0, 0, 0);
    }

    /** A node whose work for a unit takes so many times that of the others is slow. */
    private static final double SLOW = 1.5;

    private static final double COMPARED_EVERY = 50;

    /** A queue stood in for less is the way's noise. */
    private static final double LEAST_QUEUE = 0.1;

    private static final double HEARD_LATELY = 1_000;
    private static final int MOST_AHEADS_KEPT = 4096;

    /**
     * A wait that is shorter than this tells nothing of how fast a queue drains, in milliseconds.
     */
    private static final double LEAST_DRAIN = 0.5;

    /** How an operation ended. */
    public enum End implements ExternalName {
        SERVED("satisfied"),
        REJECTED("declined"),
        ABANDONED("scrapped"),
        CANCELLED("left");

        private final String externalName;

        End(String externalName) {
            this.externalName = externalName;
        }

        @Override
        public String externalName() {
            return externalName;
        }
    }

    private final Bounds bounds;
    private final double wallAtZero;

    /** Whoever was used longest ago comes first. */
    private final LinkedHashMap<Long, Timeline<AccountWindow>> volumes =
            new LinkedHashMap<>(16, 0.75f, true);

    private final Map<Integer, NodeActivity> nodes = new LinkedHashMap<>();
    private final ArrayDeque<OutstandingWork> spare = new ArrayDeque<>();
    private final Totals totals;

    /**
     * Units of attempts out at any node, and of operations that hold a slot while they wait for a
     * claim.
     */
    private final OutstandingWork anywhere = new OutstandingWork();

    private double claiming;

    /**
     * Of all nodes that have one, reads and writes: paces summed, and how many; and when that was.
     */
    private final double[] paces = new double[2];

    private final int[] paced = new int[2];
    private double comparedAt = Double.NEGATIVE_INFINITY;
    private int windowCount;

    /** The wall-clock time, in milliseconds, at which the clock that is handed in stood at zero. */
    public Accounts(Bounds bounds, double wallAtZero) {
        this(bounds, wallAtZero, Set.of());
    }

    /** The same, with sums since the start for these volumes. */
    public Accounts(Bounds bounds, double wallAtZero, Set<Long> summed) {
        this.bounds = bounds;
        this.wallAtZero = wallAtZero;
        this.totals = new Totals(summed);
    }

    // ---- what happens ----

    /** A node that may be sent to; until a time on the clock handed in it counts as cold. */
    public void nodeListed(int id, int zone, double coldUntil) {
        NodeActivity node = log(id);
        if (node != null) {
            node.zone = zone;
            node.coldUntil = coldUntil;
        }
    }

    /**
     * An operation came. Its meter is null where no accounts are kept, and all else takes it so.
     */
    public OperationTimer begin(
            long volume, TrafficClass trafficClass, boolean writes, double units, double now) {
        return bounds.volumes() == 0
                ? null
                : new OperationTimer(volume, trafficClass, writes, units, now);
    }

    /** From now on it waits at this gateway, for a node (0: none). */
    public void waitStarted(OperationTimer meter, LatencyComponent part, int node, double now) {
        if (meter == null) {
            return;
        }
        close(meter, now);
        start(meter, part, node);
        meter.limited |= part == LatencyComponent.LIMIT;
        meter.quotaTier =
                switch (part) {
                    case RESERVATION_FULL -> QuotaTier.RESERVATION;
                    case EXCESS_FULL -> QuotaTier.EXCESS;
                    default -> QuotaTier.SHARE;
                };
    }

    /**
     * It has a slot at a node and waits for the claim of its extent: the slot is taken meanwhile.
     */
    public void claimStarted(OperationTimer meter, int node, double now) {
        if (meter == null) {
            return;
        }
        close(meter, now);
        start(meter, LatencyComponent.DIRECTORY, 0);
        meter.claimsAt = node;
        claiming += meter.units;
        NodeActivity log = log(node);
        if (log != null) {
            log.claiming += meter.units;
        }
    }

    private void claimed(OperationTimer meter) {
        if (meter.claimsAt != 0) {
            claiming = Math.max(0, claiming - meter.units);
            NodeActivity log = nodes.get(meter.claimsAt);
            if (log != null) {
                log.claiming = Math.max(0, log.claiming - meter.units);
            }
            meter.claimsAt = 0;
        }
    }

    /** An attempt of it goes to a node, in this part of its plan. */
    public void attemptSent(OperationTimer meter, int node, QuotaTier quotaTier, double now) {
        if (meter == null) {
            return;
        }
        close(meter, now);
        claimed(meter);
        start(meter, LatencyComponent.NETWORK, node);
        meter.quotaTier = quotaTier;
        meter.wasSent = true;
        NodeActivity log = log(node);
        meter.out = log;
        if (log != null) {
            meter.othersLeast = log.othersLeast();
            meter.othersMost = log.othersMost();
            meter.outKey = log.out.add(OutstandingWork.key(meter.volume, quotaTier), meter.units);
            meter.outKeyAnywhere =
                    anywhere.add(OutstandingWork.key(meter.volume, quotaTier), meter.units);
            log.sent(now);
            if (meter.writes) {
                log.written.add(meter.volume, meter.units, now);
            }
        }
    }

    /**
     * Its attempt was answered well: the node told how long it stood in the queue and was worked
     * on, and how many attempts of everybody's were in its queue then (NaN: not told).
     */
    public void attemptAnswered(
            OperationTimer meter, double waited, double worked, double queue, double now) {
        if (meter == null) {
            return;
        }
        double length = Math.max(0, now - meter.since);
        double stood = Math.min(length, Math.max(0, waited));
        double work = Math.min(length - stood, Math.max(0, worked));
        NodeActivity log = meter.out;
        meter.since = now;
        if (!meter.ended) {
            double way = length - stood - work;
            meter.step(LatencyComponent.NETWORK, meter.node, way);
            meter.step(LatencyComponent.NODE_QUEUE, meter.node, stood);
            if (stood < LEAST_QUEUE) {
                charge(meter, Cause.Kind.NETWORK, meter.node, way + stood, false);
            } else {
                charge(meter, Cause.Kind.NETWORK, meter.node, way, false);
                queued(meter, log, stood, length, now);
            }
            meter.step(LatencyComponent.NODE_WORK, meter.node, work);
            worked(meter, log, work);
        }
        if (log != null) {
            compare(now);
            log.heard(meter.writes, meter.units, waited, worked, length, queue, now);
            log.flows.at(wallAtZero + now).worked(meter.volume, meter.writes, meter.units);
        }
        letGo(meter);
        start(meter, LatencyComponent.LOWER_PRIORITY, 0);
    }

    /**
     * A node answered an attempt that had been given up: it stood still, or was long at it, and was
     * not gone.
     */
    public void lateAnswer(int node, double waited, double worked) {
        NodeActivity log = nodes.get(node);
        if (log != null && waited + worked > 0) {
            log.late();
        }
    }

    /** Its attempt ended for nothing, in this way. */
    public void attemptFailed(OperationTimer meter, Outcome how, double now) {
        if (meter == null) {
            return;
        }
        double length = Math.max(0, now - meter.since);
        NodeActivity log = meter.out;
        if (meter.claimsAt != 0) {
            // It never went out: the claim was lost, or nobody could say.
            close(meter, now);
            claimed(meter);
            start(meter, LatencyComponent.LOWER_PRIORITY, 0);
            return;
        }
        if (length > 0 && !meter.ended) {
            meter.step(LatencyComponent.FAILED_ATTEMPT, meter.node, length);
            switch (how) {
                case TIMED_OUT, CANCELLED -> unanswered(meter, log, length, now);
                case REJECTED -> held(meter, LatencyComponent.QUEUE_AT_NODE, length, now);
                case NOT_EXECUTED -> charge(meter, Cause.Kind.DIRECTORY, 0, length, false);
                default -> charge(meter, Cause.Kind.FAULT, meter.node, length, false);
            }
        }
        meter.since = now;
        letGo(meter);
        start(meter, LatencyComponent.LOWER_PRIORITY, 0);
    }

    /**
     * No answer came in time. From a node that answered others meanwhile, what its attempts usually
     * take is its queue's doing or its slowness; only what goes beyond that is the node's fault, as
     * all of it is of a quiet node.
     */
    private void unanswered(OperationTimer meter, NodeActivity log, double length, double now) {
        double queue = log == null ? 0 : Math.min(length, log.usualSince(now - length));
        if (queue > 0) {
            held(meter, LatencyComponent.QUEUE_AT_NODE, queue, now - length + queue);
        }
        quiet(meter, length - queue, now, false);
    }

    /**
     * Found silent for attempts without an answer; but one that is slow and answered lately is
     * that, not silent.
     */
    private void silent(OperationTimer meter, double length, double now) {
        NodeActivity log = meter.log;
        double slow =
                log == null || now - log.heardAt > HEARD_LATELY
                        ? 0
                        : length * Math.max(slowPart(log, false), slowPart(log, true));
        charge(meter, Cause.Kind.SLOW_NODE, meter.node, slow, true);
        quiet(meter, length - slow, now, false);
    }

    /**
     * A node that said nothing: a fault, or one of its pauses if that is what its silences lately
     * proved to be.
     */
    private void quiet(OperationTimer meter, double length, double now, boolean estimate) {
        NodeActivity log = meter.log;
        double paused = log == null ? 0 : length * log.pauses();
        if (paused > 0) {
            pause(meter, log, paused, now);
        }
        charge(meter, Cause.Kind.FAULT, meter.node, length - paused, estimate);
    }

    /**
     * Its final answer is out, or its client left; what it was given up for, and at which node (0:
     * none).
     */
    public void end(OperationTimer meter, End how, Reason reason, int node, double now) {
        if (meter == null || meter.ended) {
            return;
        }
        close(meter, now);
        claimed(meter);
        meter.ended = true;
        double took = now - meter.arrivedAt;
        boolean met = how == End.SERVED && took <= meter.trafficClass.latencyObjective();
        double lost =
                met
                        ? 0
                        : meter.trafficClass.priorityWeight()
                                * (how == End.SERVED
                                        ? 1 - meter.trafficClass.lateWeightFraction()
                                        : 1);
        if (lost > 0 && meter.charges.size() == 0) {
            blameUnwaited(meter, reason, node, now);
        }
        AccountWindow window = window(meter.volume, now);
        PlanTier part =
                meter.limited || reason == Reason.LIMIT
                        ? PlanTier.LIMIT
                        : !meter.wasSent ? PlanTier.NONE : PlanTier.of(meter.quotaTier);
        int at = part.ordinal();
        window.units[at] += meter.units;
        window.lost[at] += lost;
        if (met) {
            window.met[at]++;
        } else {
            window.missed[at]++;
        }
        window.time(part, took);
        switch (how) {
            case REJECTED -> window.declined++;
            case ABANDONED -> window.scrapped++;
            case CANCELLED -> window.left++;
            case SERVED -> {}
        }
        snapshot(window, meter, lost);
        count(meter, how, part, met, lost);
        if (meter.out == null) {
            giveBack(meter);
        }
    }

    private void count(OperationTimer meter, End how, PlanTier part, boolean met, double lost) {
        Totals.OfVolume sum = totals.of(meter.volume);
        sum.met += met ? 1 : 0;
        sum.missed += met ? 0 : 1;
        sum.units += meter.units;
        sum.lostWeight += lost;
        switch (how) {
            case REJECTED -> sum.rejected++;
            case ABANDONED -> sum.abandoned++;
            case CANCELLED -> sum.cancelled++;
            case SERVED -> {}
        }
        sum.waitedMillis += waited(meter);
        totals.ended(part, meter.units);
    }

    /** Milliseconds that were no node's work. */
    private static double waited(OperationTimer meter) {
        double waited = 0;
        for (int i = 0; i < meter.stepCount(); i++) {
            waited += meter.step(i) == LatencyComponent.NODE_WORK ? 0 : meter.stepLength(i);
        }
        return waited;
    }

    /** Sums since the start; the caller's own copy. */
    public Totals totals() {
        return totals.copy();
    }

    /** A lost utility is shared among the causes by what each made it wait. */
    private void snapshot(AccountWindow window, OperationTimer meter, double lost) {
        for (int i = 0; i < meter.stepCount(); i++) {
            window.parts[meter.step(i).ordinal()] += meter.stepLength(i);
            totals.spent(meter.step(i), meter.stepLength(i));
        }
        CauseCharges mine = meter.charges;
        double all = 0;
        for (int i = 0; i < mine.size() && lost > 0; i++) {
            all += mine.waited(i);
        }
        for (int i = 0; i < mine.size(); i++) {
            double waited = mine.waited(i);
            double part = all > 0 ? lost * waited / all : lost / mine.size();
            window.causes.add(mine.key(i), waited, mine.least(i), mine.most(i), part);
            totals.caused(Cause.kind(mine.key(i)), waited, part);
        }
    }

    /**
     * Given up at once: nothing waited, but what it would have waited for is the cause all the
     * same.
     */
    private void blameUnwaited(OperationTimer meter, Reason reason, int node, double now) {
        LatencyComponent part =
                switch (reason) {
                    case OBJECTIVE_MISSED, DEADLINE -> LatencyComponent.SHARE_FULL;
                    default -> LatencyComponent.of(reason);
                };
        start(meter, part, node);
        charge(meter, part, 1e-9, now);
        meter.currentComponent = LatencyComponent.LOWER_PRIORITY;
    }

    // ---- whose doing it was ----

    private void close(OperationTimer meter, double now) {
        double length = Math.max(0, now - meter.since);
        if (length > 0 && !meter.ended) {
            meter.step(meter.currentComponent, meter.node, length);
            charge(meter, meter.currentComponent, length, now);
        }
        meter.since = now;
    }

    private void start(OperationTimer meter, LatencyComponent part, int node) {
        meter.currentComponent = part;
        if (meter.node != node || meter.log == null) {
            meter.node = node;
            meter.log = node == 0 ? null : nodes.get(node);
        }
        NodeActivity log = meter.log;
        boolean matters =
                node == 0
                        ? part == LatencyComponent.RESERVATION_FULL
                                || part == LatencyComponent.SHARE_FULL
                                || part == LatencyComponent.EXCESS_FULL
                        : log != null;
        if (!matters) {
            giveBack(meter);
            return;
        }
        if (meter.ahead == null) {
            meter.ahead = spare.isEmpty() ? new OutstandingWork() : spare.pop();
        }
        meter.ahead.copy(node == 0 ? anywhere : log.out);
    }

    private void giveBack(OperationTimer meter) {
        if (meter.ahead != null && spare.size() < MOST_AHEADS_KEPT) {
            spare.push(meter.ahead);
        }
        meter.ahead = null;
    }

    private void letGo(OperationTimer meter) {
        NodeActivity log = meter.out;
        if (log != null) {
            log.out.add(meter.outKey, -meter.units);
            anywhere.add(meter.outKeyAnywhere, -meter.units);
            log.ended();
        }
        meter.out = null;
        if (meter.ended) {
            giveBack(meter);
        }
    }

    private static void charge(
            OperationTimer meter, Cause.Kind kind, int node, double length, boolean estimate) {
        if (length > 0) {
            meter.charges.add(
                    Cause.key(kind, 0, node, estimate), length, estimate ? 0 : length, length, 0);
        }
    }

    private static void own(OperationTimer meter, Cause.Kind kind, double length) {
        if (length > 0) {
            meter.charges.add(Cause.key(kind, meter.volume, meter.node, false), length);
        }
    }

    private void charge(OperationTimer meter, LatencyComponent part, double length, double now) {
        switch (part) {
            case RESERVATION_FULL, SHARE_FULL, EXCESS_FULL, LOWER_PRIORITY, QUEUE_AT_NODE ->
                    held(meter, part, length, now);
            case RETRY_BUDGET ->
                    charge(meter, Cause.Kind.LOCAL_THROTTLING, meter.node, length, false);
            case LIMIT -> own(meter, Cause.Kind.OWN_LIMIT, length);
            case KEY_ORDER -> own(meter, Cause.Kind.OWN_LOAD, length);
            case WARMING_UP -> charge(meter, Cause.Kind.WARMING_UP_NODE, meter.node, length, false);
            case UNRESPONSIVE -> silent(meter, length, now);
            case NOT_READY, FAILED_ATTEMPT ->
                    charge(meter, Cause.Kind.FAULT, meter.node, length, false);
            case DIRECTORY -> charge(meter, Cause.Kind.DIRECTORY, 0, length, false);
            case NETWORK -> charge(meter, Cause.Kind.NETWORK, meter.node, length, false);
            case NODE_QUEUE -> charge(meter, Cause.Kind.LOCAL_THROTTLING, meter.node, length, true);
            case NODE_WORK -> own(meter, Cause.Kind.OWN_WORK, length);
        }
    }

    /**
     * Held here for a slot at a node, or by the queue seen there: its slots turn over as fast as
     * its attempts end. What the node's silence, its coldness, pauses or other gateways' work add
     * is not the doing of those who have the slots; the rest is charged to them.
     */
    private void held(OperationTimer meter, LatencyComponent part, double all, double now) {
        NodeActivity log = meter.log;
        if (meter.ahead == null) {
            charge(meter, Cause.Kind.LOCAL_THROTTLING, meter.node, all, false);
            return;
        }
        // Slots are taken by whoever waits for a claim, too.
        double taken = log == null ? claiming : log.claiming;
        double claims = taken > 0 ? all * taken / (taken + meter.ahead.sum()) : 0;
        charge(meter, Cause.Kind.DIRECTORY, 0, claims, false);
        double length = all - claims;
        if (log == null) {
            // A new object, for which no node has a slot: behind all that is out anywhere.
            if (meter.ahead.sum() > 0) {
                behind(meter, null, length, length, length, true);
            } else {
                charge(meter, Cause.Kind.LOCAL_THROTTLING, 0, length, false);
            }
            return;
        }
        double quiet = Math.min(length, log.quiet(now - length, now));
        quiet(meter, quiet, now, true);
        double rest = length - quiet;
        if (rest <= 0) {
            return;
        }
        if (now < log.coldUntil) {
            charge(meter, Cause.Kind.WARMING_UP_NODE, log.id, rest, true);
            return;
        }
        double paused = rest * log.paused;
        pause(meter, log, paused, now);
        double elsewhere = rest * log.elsewhere;
        charge(meter, Cause.Kind.OTHER_GATEWAYS, log.id, elsewhere, true);
        rest -= paused + elsewhere;
        // The queue that holds it back is known by an answer only: who stands in it is reckoned.
        boolean seen = part != LatencyComponent.QUEUE_AT_NODE;
        double sum = meter.ahead.sum();
        if (sum <= 0) {
            charge(
                    meter,
                    seen ? Cause.Kind.LOCAL_THROTTLING : Cause.Kind.OTHER_GATEWAYS,
                    log.id,
                    rest,
                    !seen);
            return;
        }
        double spread = seen ? 1 : 0.5;
        behind(
                meter,
                log,
                rest,
                spread * rest,
                rest + elsewhere,
                seen && log.elsewhere + log.paused < 0.05);
    }

    /** Waited in the node's queue, as the node told. */
    private void queued(
            OperationTimer meter, NodeActivity log, double length, double attempt, double now) {
        if (log == null) {
            charge(meter, Cause.Kind.LOCAL_THROTTLING, meter.node, length, true);
            return;
        }
        double own = meter.ahead == null ? 0 : meter.ahead.sum();
        double mean = Math.max(1e-9, meter.units);
        double leastOthers = meter.othersLeast * mean;
        double mostOthers = meter.othersMost * mean;
        if (own > 0 && leastOthers == 0 && length > LEAST_DRAIN) {
            log.drained(length, own);
        }
        double usual = log.usualWait(own);
        double mine = leastOthers + own > 0 ? length * own / (own + leastOthers) : 0;
        if (!Double.isNaN(usual)) {
            mine = Math.min(mine, usual);
        }
        double rest = length - mine;
        double elsewhere = leastOthers > 0 ? rest : 0;
        double paused = rest - elsewhere;
        if (elsewhere > 0) {
            double least = length * leastOthers / (own + leastOthers);
            meter.charges.add(
                    Cause.key(Cause.Kind.OTHER_GATEWAYS, 0, log.id, true),
                    elsewhere,
                    Math.min(least, elsewhere),
                    length,
                    0);
        }
        pause(meter, log, paused, now);
        if (mine > 0) {
            double least = Double.isNaN(usual) ? 0 : mine * own / (own + mostOthers);
            behind(meter, log, mine, least, length, false);
        }
        if (attempt > 0) {
            log.composed(elsewhere / attempt, paused / attempt);
        }
    }

    /**
     * What neither the units ahead nor a queue seen explain: the node paused, perhaps for writes
     * put off.
     */
    private static void pause(OperationTimer meter, NodeActivity log, double length, double now) {
        if (length <= 0) {
            return;
        }
        log.written.fade(now);
        double sum = log.written.sum();
        if (sum < 1e-3) {
            charge(meter, Cause.Kind.PAUSE, log.id, length, true);
            return;
        }
        for (int i = 0; i < log.written.size(); i++) {
            double part = length * log.written.units(i) / sum;
            meter.charges.add(
                    Cause.key(Cause.Kind.PAUSE, log.written.volume(i), log.id, true),
                    part,
                    0,
                    length,
                    0);
        }
    }

    /**
     * Behind the units ahead, by volume, but what a slow node adds is the node's own. Who is in a
     * part of the plan that goes before is entitled to be ahead: then it is one's own load, beyond
     * that part, that waits.
     */
    private void behind(
            OperationTimer meter,
            NodeActivity log,
            double length,
            double least,
            double most,
            boolean seen) {
        double slow = log == null ? 0 : slowPart(log, meter.writes);
        int at = log == null ? 0 : log.id;
        charge(meter, Cause.Kind.SLOW_NODE, at, length * slow, true);
        double sum = meter.ahead.sum();
        for (int i = 0; i < meter.ahead.size(); i++) {
            double part = (1 - slow) * meter.ahead.units(i) / sum;
            boolean mine =
                    meter.ahead.volume(i) == meter.volume
                            || meter.ahead.owed(i).compareTo(meter.quotaTier) < 0;
            long key =
                    mine
                            ? Cause.key(Cause.Kind.OWN_LOAD, meter.volume, at, !seen)
                            : Cause.key(Cause.Kind.NEIGHBOUR, meter.ahead.volume(i), at, !seen);
            meter.charges.add(key, length * part, least * part, most * part, 0);
        }
    }

    /** Worked on: beyond what other nodes take for it, the node's slowness. */
    private void worked(OperationTimer meter, NodeActivity log, double length) {
        double slow = log == null ? 0 : length * slowPart(log, meter.writes);
        if (slow > 0) {
            charge(meter, Cause.Kind.SLOW_NODE, log.id, slow, false);
        }
        own(meter, Cause.Kind.OWN_WORK, length - slow);
    }

    /** The part of a node's time that a node at the others' pace would not have taken. */
    private double slowPart(NodeActivity log, boolean writes) {
        int kind = writes ? 1 : 0;
        double pace = log.pace(writes);
        if (Double.isNaN(pace) || paced[kind] < 2 || !log.paced(kind)) {
            return 0;
        }
        double usual = (paces[kind] - log.paceThen(kind)) / (paced[kind] - 1);
        return usual > 0 && pace > SLOW * usual ? 1 - usual / pace : 0;
    }

    /** Sums all nodes' paces now and then. */
    private void compare(double now) {
        if (now < comparedAt + COMPARED_EVERY) {
            return;
        }
        comparedAt = now;
        for (int kind = 0; kind < 2; kind++) {
            paces[kind] = 0;
            paced[kind] = 0;
            for (NodeActivity log : nodes.values()) {
                if (log.noted(kind)) {
                    paces[kind] += log.paceThen(kind);
                    paced[kind]++;
                }
            }
        }
    }

    private NodeActivity log(int id) {
        if (id == 0) {
            return null;
        }
        NodeActivity log = nodes.get(id);
        if (log == null && nodes.size() < bounds.nodes()) {
            log = new NodeActivity(id);
            nodes.put(id, log);
        }
        return log;
    }

    // ---- windows ----

    private AccountWindow window(long volume, double now) {
        Timeline<AccountWindow> line = line(volume);
        int before = line.size();
        AccountWindow window = line.at(wallAtZero + now);
        windowCount += line.size() - before;
        while (windowCount > bounds.windows() && giveUpDetail(line)) {
            // once for each window too many
        }
        return window;
    }

    private Timeline<AccountWindow> line(long volume) {
        Timeline<AccountWindow> line = volumes.get(volume);
        if (line == null) {
            long key = volumes.size() < bounds.volumes() ? volume : 0;
            line = volumes.computeIfAbsent(key, any -> new Timeline<>(AccountWindow::new));
        }
        return line;
    }

    /**
     * Whoever was idle longest gives up detail; who has none left goes into the account that the
     * rest share.
     */
    private boolean giveUpDetail(Timeline<AccountWindow> spared) {
        for (Map.Entry<Long, Timeline<AccountWindow>> entry : volumes.entrySet()) {
            Timeline<AccountWindow> line = entry.getValue();
            int before = line.size();
            if (line != spared && line.squeeze()) {
                windowCount += line.size() - before;
                return true;
            }
        }
        for (Map.Entry<Long, Timeline<AccountWindow>> entry : volumes.entrySet()) {
            if (entry.getKey() != 0 && entry.getValue() != spared) {
                Timeline<AccountWindow> gone = volumes.remove(entry.getKey());
                Timeline<AccountWindow> rest = line(0);
                int before = rest.size();
                rest.merge(gone, 0);
                windowCount += rest.size() - before - gone.size();
                return true;
            }
        }
        return false;
    }

    // ---- what is told ----

    /**
     * A volume's account from a time to another on the clock handed in, as fine as it is still
     * kept.
     */
    public LatencyReport report(long volume, double from, double to) {
        return snapshot().report(volume, wallAtZero + from, wallAtZero + to);
    }

    /**
     * Begins a copy of all that is kept now, taken piece by piece; on the thread that owns these
     * accounts.
     */
    public IncrementalCopy startCopy() {
        return new IncrementalCopy(snapshot());
    }

    /**
     * All of it, as it stands; shares its parts with these accounts, so that it is for the same
     * thread.
     */
    public LatencyAccount snapshot() {
        LatencyAccount book = new LatencyAccount();
        volumes.forEach(book.volumes::put);
        nodes.forEach(
                (id, log) -> {
                    book.flows.put(id, log.flows);
                    book.zones.put(id, log.zone);
                });
        return book;
    }

    /**
     * Goes on with what an earlier life kept, at most as much as fits; later than now nothing can
     * have been.
     */
    public void restore(LatencyAccount book, double now) {
        book.noLaterThan(wallAtZero + now);
        book.volumes.forEach(
                (volume, line) -> {
                    Timeline<AccountWindow> mine = line(volume);
                    int before = mine.size();
                    mine.merge(line, 0);
                    windowCount += mine.size() - before;
                });
        book.flows.forEach(
                (id, line) -> {
                    NodeActivity log = log(id);
                    if (log != null) {
                        log.flows.merge(line, 0);
                    }
                });
        while (windowCount > bounds.windows() && giveUpDetail(null)) {
            // once for each window too many
        }
    }

    /** The volumes that have an account, in order. */
    public List<Long> volumes() {
        return volumes.keySet().stream().sorted().toList();
    }

    /** Windows kept in all. */
    public int windowCount() {
        return windowCount;
    }
}
