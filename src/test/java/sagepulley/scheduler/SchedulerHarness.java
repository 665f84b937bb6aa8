package sagepulley.scheduler;

import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import sagepulley.model.Attempt;
import sagepulley.model.Deployment;
import sagepulley.model.FollowUp;
import sagepulley.model.Node;
import sagepulley.model.Operation;
import sagepulley.model.Outcome;
import sagepulley.model.RoutingDecision;
import sagepulley.model.SchedulerTurn;
import sagepulley.model.ServicePolicy;
import sagepulley.model.TenantPlan;
import sagepulley.model.TrafficClass;
import sagepulley.model.Volume;

/**
 * The smallest host of one gateway: a clock moved by hand, idle nodes, and a log of what was sent.
 */
final class SchedulerHarness {
    /**
     * Bands by place: read, write, bulk read, deduplicated within a cell, unrepeatable, in order.
     */
    static final int READ = 0;

    static final int WRITE = 1;
    static final int BULK = 2;
    static final int DEDUPLICATED = 3;
    static final int UNREPEATABLE = 4;
    static final int ORDERED = 5;

    final List<Node> nodes = new ArrayList<>();
    final List<Attempt> sent = new ArrayList<>();
    private final IdentityHashMap<Attempt, Double> timeouts = new IdentityHashMap<>();
    final List<Operation> declined = new ArrayList<>();
    final List<Operation> scrapped = new ArrayList<>();
    final List<Attempt> calledOff = new ArrayList<>();
    final List<Operation> held = new ArrayList<>();
    final Scheduler scheduler;
    final Deployment site;

    /** When the client declined last should come back. */
    double advice = Double.NaN;

    int listCalls;
    int probes;
    double now = 100_000;
    private long ids;

    /** Of an operation, as the settings say the usual one has. */
    static final double UNITS = 2;

    SchedulerHarness(int nodeCount) {
        this(nodeCount, 0, 1, false, Double.NaN);
    }

    SchedulerHarness(int nodeCount, int me, int gateways, boolean mustAsk, double budgetFree) {
        this(nodeCount, me, gateways, mustAsk, budgetFree, Double.POSITIVE_INFINITY);
    }

    /** The same where a change of the list counts as notified within a span. */
    SchedulerHarness(
            int nodeCount,
            int me,
            int gateways,
            boolean mustAsk,
            double budgetFree,
            double notifiedWithin) {
        List<TrafficClass> bands =
                List.of(
                        band(READ, TrafficClass.Idempotency.IDEMPOTENT, false, 250, 2000, 3),
                        band(WRITE, TrafficClass.Idempotency.IDEMPOTENT, false, 300, 2000, 3),
                        band(BULK, TrafficClass.Idempotency.IDEMPOTENT, false, 1500, 5000, 1),
                        band(
                                DEDUPLICATED,
                                TrafficClass.Idempotency.DEDUPLICATED,
                                false,
                                300,
                                2000,
                                3),
                        band(
                                UNREPEATABLE,
                                TrafficClass.Idempotency.NON_IDEMPOTENT,
                                false,
                                300,
                                2000,
                                3),
                        band(ORDERED, TrafficClass.Idempotency.IDEMPOTENT, true, 300, 2000, 3));
        List<TenantPlan> plans =
                List.of(
                        new TenantPlan(0, "plain", 10, 0, 1, 1, 0, 0, 0),
                        new TenantPlan(1, "reserved", 10, 10, 3, 1, 0, 0, 0),
                        new TenantPlan(2, "limited", 10, 0, 1, 1, 10, 24, 2));
        ServicePolicy policy =
                new ServicePolicy(
                        8,
                        1000,
                        0.25,
                        10_000,
                        2,
                        2000,
                        6,
                        200,
                        budgetFree,
                        0.1,
                        Double.isNaN(budgetFree) ? Double.NaN : 1000,
                        4,
                        false);
        site =
                new Deployment(
                        me,
                        gateways,
                        0,
                        bands,
                        plans,
                        policy,
                        2,
                        99,
                        2,
                        6,
                        0.35,
                        0.05,
                        1000,
                        true,
                        mustAsk,
                        10_000,
                        notifiedWithin,
                        true,
                        true,
                        true,
                        1000,
                        0,
                        0,
                        0.05,
                        false,
                        List.of());
        scheduler = new Scheduler(site, 7 + me);
        for (int i = 0; i < nodeCount; i++) {
            nodes.add(node(i));
        }
        scheduler.onEndpointList(nodes, now);
        settle();
    }

    private static TrafficClass band(
            int index,
            TrafficClass.Idempotency repeat,
            boolean inOrder,
            double target,
            double patience,
            double utility) {
        return new TrafficClass(
                index,
                "band " + index,
                repeat,
                TrafficClass.DeduplicationScope.CELL,
                1000,
                inOrder,
                index == WRITE,
                target,
                0,
                patience,
                utility,
                0.2);
    }

    Node node(int cell) {
        Node node = new Node(100 + cell);
        node.cell = cell;
        return node;
    }

    Volume volume(int plan) {
        return new Volume(++ids, site.plans().get(plan));
    }

    /**
     * An operation of two units on a shard, of a volume with a reserve and an extent of its own.
     */
    Operation take(int band, int shard) {
        return take(band, volume(1), ++ids, UNITS, shard);
    }

    Operation take(int band, Volume volume, long extent, double units, int shard) {
        return take(band, volume, extent, units, shard, site.trafficClasses().get(band).deadline());
    }

    /** An operation whose client has only so much patience left. */
    Operation takeHurried(int band, long extent, int shard, double patience) {
        return take(band, volume(1), extent, 2, shard, patience);
    }

    private Operation take(
            int band, Volume volume, long extent, double units, int shard, double patience) {
        Operation operation =
                new Operation(
                        ++ids,
                        site.trafficClasses().get(band),
                        volume,
                        extent,
                        units,
                        shard,
                        now,
                        now + patience,
                        false);
        held.add(operation);
        answer(operation, scheduler.route(operation, now));
        settle();
        return operation;
    }

    /** Ends an attempt and carries out what follows. */
    void end(Attempt attempt, Outcome outcome) {
        attempt.outcome = outcome;
        attempt.duration = now - attempt.sentAt;
        attempt.operation.ended |= outcome == Outcome.SERVED;
        if (scheduler.onAttemptEnded(attempt, now) == FollowUp.ROUTE_AGAIN) {
            answer(attempt.operation, scheduler.route(attempt.operation, now));
        }
        settle();
    }

    /** Satisfies every attempt that is out now. */
    void satisfyAllOut() {
        sent.stream()
                .filter(attempt -> attempt.outcome == null)
                .toList()
                .forEach(attempt -> end(attempt, Outcome.SERVED));
    }

    void leave(Operation operation) {
        operation.ended = true;
        scheduler.onClientCancelled(operation, now);
        settle();
    }

    /** Moves the clock, asking whenever the module wants to be asked. */
    void passTime(double length) {
        double until = now + length;
        while (now < until) {
            now = Math.min(until, now + 2);
            settle();
        }
    }

    void relist() {
        scheduler.onEndpointList(nodes, now);
        settle();
    }

    void settle() {
        for (int round = 0; round < 1000; round++) {
            SchedulerTurn turn = scheduler.nextTurn(now);
            probes += turn.healthChecks().size();
            calledOff.addAll(turn.cancellations());
            if (turn.poll() != SchedulerTurn.EndpointPoll.NONE) {
                listCalls++;
            }
            if (turn.due().isEmpty()) {
                return;
            }
            for (Operation operation : turn.due()) {
                answer(operation, scheduler.route(operation, now));
            }
        }
    }

    /** The longest time given to the operation's last attempt. */
    double timeoutOf(Operation operation) {
        return timeouts.get(lastAttempt(operation));
    }

    Attempt lastAttempt(Operation operation) {
        return operation.attempts.get(operation.attempts.size() - 1);
    }

    private void answer(Operation operation, RoutingDecision decision) {
        switch (decision.kind()) {
            case SEND -> {
                sent.add(lastAttempt(operation));
                timeouts.put(lastAttempt(operation), decision.timeout());
            }
            case REJECT -> {
                declined.add(operation);
                advice = decision.retryAfter();
            }
            case ABANDON -> scrapped.add(operation);
            case WAIT -> {}
        }
    }
}
