package sagepulley.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import sagepulley.model.Attempt;
import sagepulley.model.Deployment;
import sagepulley.model.FollowUp;
import sagepulley.model.Node;
import sagepulley.model.Operation;
import sagepulley.model.Outcome;
import sagepulley.model.Reason;
import sagepulley.model.RoutingDecision;
import sagepulley.model.SchedulerTurn;
import sagepulley.model.Volume;
import sagepulley.scheduler.Scheduler;
import sagepulley.scheduler.TrafficClassView;
import sagepulley.scheduler.WaitExplainer;

/**
 * One gateway round the module that decides for it: its operations in hand, its nodes and volumes,
 * and the settle loop. Told what happens by whoever owns the wire; what is decided goes out by the
 * exit. One thread.
 */
public final class GatewayEngine {
    private static final double GONE_FOR_GOOD = 30_000;

    private final Deployment deployment;
    private final DecisionSink sink;
    private final Scheduler scheduler;
    private final Map<Long, Operation> operations = new HashMap<>();
    private final Map<Long, Volume> volumes = new HashMap<>();
    private final Map<Integer, Node> nodes = new LinkedHashMap<>();
    private final Map<Integer, Double> goneSince = new HashMap<>();

    /** Taken, and not yet placed: all that came at one moment is known before anything is sent. */
    private final Queue<Operation> arrivals = new ArrayDeque<>();

    public GatewayEngine(Deployment deployment, long seed, DecisionSink sink) {
        this.deployment = deployment;
        this.sink = sink;
        this.scheduler = new Scheduler(deployment, seed);
    }

    public Deployment deployment() {
        return deployment;
    }

    /**
     * The list as it stands after a message of the given entries; a whole list drops what it lacks.
     * Gives the nodes that were gone for long and are forgotten now.
     */
    public List<Node> onEndpointList(List<EndpointEntry> entries, boolean whole, double now) {
        if (whole) {
            for (Node node : nodes.values()) {
                node.phase = Node.Phase.REMOVED;
            }
        }
        for (EndpointEntry entry : entries) {
            entry.copyTo(nodes.computeIfAbsent(entry.node(), Node::new));
        }
        List<Node> forgotten = longGone(now);
        scheduler.onEndpointList(new ArrayList<>(nodes.values()), now);
        return forgotten;
    }

    /**
     * A node that vanished may come back as it was; by then it will not, and nothing may grow with
     * those.
     */
    private List<Node> longGone(double now) {
        Set<Node> busy = new HashSet<>();
        for (Operation operation : operations.values()) {
            for (Attempt attempt : operation.attempts) {
                if (attempt.outcome == null) {
                    busy.add(attempt.node);
                }
            }
        }
        List<Node> forgotten = new ArrayList<>(0);
        for (Node node : nodes.values()) {
            if (node.phase != Node.Phase.REMOVED) {
                goneSince.remove(node.id);
            } else if (now - goneSince.computeIfAbsent(node.id, any -> now) > GONE_FOR_GOOD
                    && !busy.contains(node)) {
                node.forgotten = true;
                forgotten.add(node);
            }
        }
        for (Node node : forgotten) {
            nodes.remove(node.id);
            goneSince.remove(node.id);
        }
        return forgotten;
    }

    /** The list held is known to have been current at a time. */
    public void onListConfirmed(double asOf) {
        scheduler.onListConfirmed(asOf);
    }

    /** Nobody could reach discovery at a time. */
    public void onDiscoveryUnreachable(double at) {
        scheduler.onDiscoveryUnreachable(at);
    }

    public void onPollFailed(double now) {
        scheduler.onPollFailed(now);
    }

    /** A new configuration was told at a time, which may move discovery. */
    public void onReloadNotified(double toldAt) {
        scheduler.onReloadNotified(toldAt);
    }

    /** A configuration whose reading began at a time is known, or known to be of no use. */
    public void onConfigurationRead(double readAt) {
        scheduler.onConfigurationRead(readAt);
    }

    public void onDiscoveryMoved(double now) {
        scheduler.onDiscoveryMoved(now);
    }

    /**
     * Takes an operation; it is placed when things are settled, if its client has not left by then.
     */
    public void onArrival(Operation operation) {
        operations.put(operation.id, operation);
        arrivals.add(operation);
    }

    public Volume volume(long id, int plan) {
        return volumes.computeIfAbsent(id, any -> new Volume(any, deployment.plans().get(plan)));
    }

    /** The operation in hand with this number; null if there is none. */
    public Operation operation(long id) {
        return operations.get(id);
    }

    public Collection<Operation> inFlight() {
        return Collections.unmodifiableCollection(operations.values());
    }

    /** The endpoint with this number; null if none is known. */
    public Node node(int id) {
        return nodes.get(id);
    }

    public Collection<Node> nodes() {
        return Collections.unmodifiableCollection(nodes.values());
    }

    /** What Scheduler has learned by band, in the order of the bands. */
    public List<TrafficClassView> trafficClassViews() {
        return TrafficClassView.of(scheduler);
    }

    /** Why each operation that waits is not sent now, by reason. */
    public Map<Reason, Integer> waitingByReason(double now) {
        Map<Reason, Integer> waiting = new EnumMap<>(Reason.class);
        for (Operation operation : operations.values()) {
            if (!operation.ended && !operation.isInFlight() && !arrivals.contains(operation)) {
                waiting.merge(WaitExplainer.why(scheduler, operation, now), 1, Integer::sum);
            }
        }
        return waiting;
    }

    /** The attempt of an outcome; null if it was never sent. */
    public Attempt attempt(long operation, int number) {
        Operation known = operations.get(operation);
        return known == null || number >= known.attempts.size() ? null : known.attempts.get(number);
    }

    /** An attempt's outcome is set; settled tells whether its operation is over with it. */
    public void onAttemptEnded(Attempt attempt, boolean settled, double now) {
        Operation operation = attempt.operation;
        operation.ended |= settled;
        if (scheduler.onAttemptEnded(attempt, now) == FollowUp.ROUTE_AGAIN) {
            answer(operation, scheduler.route(operation, now));
        }
        forget(operation);
    }

    /** Whether an attempt that was held up before its first byte may still go out. */
    public boolean mayStart(Attempt attempt, double now) {
        return scheduler.mayStart(attempt, now);
    }

    public void onClientCancelled(long id, double now) {
        Operation operation = operations.get(id);
        if (operation != null && !operation.ended) {
            operation.ended = true;
            if (!arrivals.remove(operation)) {
                scheduler.onClientCancelled(operation, now);
            }
            forget(operation);
        }
    }

    public void onHealthCheck(int id, Outcome outcome, double took, double[] report, double now) {
        Node node = nodes.get(id);
        if (node != null) {
            scheduler.onHealthCheck(node, outcome, took, report, now);
        }
    }

    /**
     * After all that happened at this moment: whatever is due now, and when to be woken for what is
     * later.
     */
    public void runDueWork(double now) {
        for (Operation fresh = arrivals.poll(); fresh != null; fresh = arrivals.poll()) {
            answer(fresh, scheduler.route(fresh, now));
        }
        SchedulerTurn turn = scheduler.nextTurn(now);
        while (true) {
            turn.cancellations().forEach(sink::cancel);
            turn.healthChecks().forEach(sink::checkHealth);
            switch (turn.poll()) {
                case SUBSCRIBE -> sink.openWatch();
                case FETCH -> sink.pollEndpointList();
                case NONE -> {}
            }
            boolean moved = false;
            for (Operation operation : turn.due()) {
                RoutingDecision decision = scheduler.route(operation, now);
                moved |= decision.kind() != RoutingDecision.Kind.WAIT;
                answer(operation, decision);
            }
            if (!moved) {
                break; // asking again at the same moment would change nothing
            }
            turn = scheduler.nextTurn(now);
        }
        sink.scheduleWakeUp(turn.delay(), now);
    }

    private void answer(Operation operation, RoutingDecision decision) {
        switch (decision.kind()) {
            case SEND ->
                    sink.send(
                            operation.attempts.get(operation.attempts.size() - 1),
                            decision.timeout());
            case REJECT, ABANDON -> sink.endUnserved(operation, decision);
            case WAIT -> {}
        }
        forget(operation);
    }

    private void forget(Operation operation) {
        if (operation.ended && !operation.isInFlight()) {
            operations.remove(operation.id);
        }
    }
}
