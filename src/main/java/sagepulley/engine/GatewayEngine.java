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
 * One gateway around its scheduler: it owns the operations in flight, the endpoints and the
 * volumes, and runs what is due. Whoever owns the protocol tells it of events; decisions go to the
 * sink. One thread. Times are milliseconds on one monotonic clock.
 */
public final class GatewayEngine {
    /** A removed endpoint that is not listed again within this time is forgotten. */
    private static final double MAX_REMOVED_MILLIS = 30_000;

    private final Deployment deployment;
    private final DecisionSink sink;
    private final Scheduler scheduler;
    private final Map<Long, Operation> operations = new HashMap<>();
    private final Map<Long, Volume> volumes = new HashMap<>();
    private final Map<Integer, Node> nodes = new LinkedHashMap<>();
    private final Map<Integer, Double> removedAt = new HashMap<>();

    /** Not routed yet: all arrivals of one moment are known before anything is sent. */
    private final Queue<Operation> arrivals = new ArrayDeque<>();

    /** A gateway without endpoints; the seed makes its random draws repeatable. */
    public GatewayEngine(Deployment deployment, long seed, DecisionSink sink) {
        this.deployment = deployment;
        this.sink = sink;
        this.scheduler = new Scheduler(deployment, seed);
    }

    /** The settings of the deployment. */
    public Deployment deployment() {
        return deployment;
    }

    /**
     * Takes over entries of the endpoint list; a complete list removes the endpoints that it lacks.
     * Gives those that were removed for long and are forgotten now.
     */
    public List<Node> onEndpointList(List<EndpointEntry> entries, boolean complete, double now) {
        if (complete) {
            for (Node node : nodes.values()) {
                node.phase = Node.Phase.REMOVED;
            }
        }
        for (EndpointEntry entry : entries) {
            entry.copyTo(nodes.computeIfAbsent(entry.node(), Node::new));
        }
        List<Node> pruned = pruneRemoved(now);
        scheduler.onEndpointList(new ArrayList<>(nodes.values()), now);
        return pruned;
    }

    /**
     * A removed endpoint may be listed again as it was. After a while it will not be, and is
     * forgotten, so that memory does not grow with their number.
     */
    private List<Node> pruneRemoved(double now) {
        Set<Node> inUse = nodesInUse();
        List<Node> pruned = new ArrayList<>(0);
        for (Node node : nodes.values()) {
            if (node.phase != Node.Phase.REMOVED) {
                removedAt.remove(node.id);
            } else if (now - removedAt.computeIfAbsent(node.id, any -> now) > MAX_REMOVED_MILLIS
                    && !inUse.contains(node)) {
                node.pruned = true;
                pruned.add(node);
            }
        }
        for (Node node : pruned) {
            nodes.remove(node.id);
            removedAt.remove(node.id);
        }
        return pruned;
    }

    private Set<Node> nodesInUse() {
        Set<Node> inUse = new HashSet<>();
        for (Operation operation : operations.values()) {
            for (Attempt attempt : operation.attempts) {
                if (attempt.outcome == null) {
                    inUse.add(attempt.node);
                }
            }
        }
        return inUse;
    }

    /** The endpoint list is known to have been current at a time. */
    public void onListConfirmed(double asOf) {
        scheduler.onListConfirmed(asOf);
    }

    /** Nobody could reach discovery at a time. */
    public void onDiscoveryUnreachable(double unreachableAt) {
        scheduler.onDiscoveryUnreachable(unreachableAt);
    }

    /** A poll of the endpoint list failed, or its watch ended. */
    public void onPollFailed(double now) {
        scheduler.onPollFailed(now);
    }

    /** A new configuration, which may move discovery, was notified at a time. */
    public void onReloadNotified(double notifiedAt) {
        scheduler.onReloadNotified(notifiedAt);
    }

    /** A configuration whose reading began at a time is known, or known to be of no use. */
    public void onConfigurationRead(double readAt) {
        scheduler.onConfigurationRead(readAt);
    }

    /** Discovery is at another address from now on, and was not polled there yet. */
    public void onDiscoveryMoved(double now) {
        scheduler.onDiscoveryMoved(now);
    }

    /** Takes an operation; it is routed by runDueWork, if its client has not cancelled by then. */
    public void onArrival(Operation operation) {
        operations.put(operation.id, operation);
        arrivals.add(operation);
    }

    /** The volume with this number, which is known from now on under this plan. */
    public Volume volume(long id, int plan) {
        return volumes.computeIfAbsent(id, any -> new Volume(any, deployment.plans().get(plan)));
    }

    /** The operation in flight with this number; null if there is none. */
    public Operation operation(long id) {
        return operations.get(id);
    }

    /** All operations that have not ended, and those with an attempt in flight. */
    public Collection<Operation> inFlight() {
        return Collections.unmodifiableCollection(operations.values());
    }

    /** The endpoint with this number; null if none is known. */
    public Node node(int id) {
        return nodes.get(id);
    }

    /** All endpoints that are known, also those that are removed and not yet forgotten. */
    public Collection<Node> nodes() {
        return Collections.unmodifiableCollection(nodes.values());
    }

    /** What the scheduler has learned of each traffic class, in their order. */
    public List<TrafficClassView> trafficClassViews() {
        return TrafficClassView.of(scheduler);
    }

    /** Why each operation that waits is not sent now, by reason. */
    public Map<Reason, Integer> waitingByReason(double now) {
        Map<Reason, Integer> waiting = new EnumMap<>(Reason.class);
        for (Operation operation : operations.values()) {
            if (!operation.ended && !operation.isInFlight() && !arrivals.contains(operation)) {
                waiting.merge(WaitExplainer.reasonFor(scheduler, operation, now), 1, Integer::sum);
            }
        }
        return waiting;
    }

    /** The attempt of an outcome; null if it was never sent. */
    public Attempt attempt(long operation, int number) {
        Operation known = operations.get(operation);
        return known == null || number >= known.attempts.size() ? null : known.attempts.get(number);
    }

    /** An attempt's outcome is set; its operation may have ended with it. */
    public void onAttemptEnded(Attempt attempt, boolean operationEnded, double now) {
        Operation operation = attempt.operation;
        operation.ended |= operationEnded;
        if (scheduler.onAttemptEnded(attempt, now) == FollowUp.ROUTE_AGAIN) {
            carryOut(operation, scheduler.route(operation, now));
        }
        removeIfFinished(operation);
    }

    /** Whether an attempt of which nothing was written yet may still be sent. */
    public boolean mayStart(Attempt attempt, double now) {
        return scheduler.mayStart(attempt, now);
    }

    /** The client has cancelled an operation; an unknown or ended one is ignored. */
    public void onClientCancelled(long id, double now) {
        Operation operation = operations.get(id);
        if (operation != null && !operation.ended) {
            operation.ended = true;
            if (!arrivals.remove(operation)) {
                scheduler.onClientCancelled(operation, now);
            }
            removeIfFinished(operation);
        }
    }

    /** A health check of an endpoint ended; an unknown endpoint is ignored. */
    public void onHealthCheck(int id, Outcome outcome, double durationMillis, double[] report, double now) {
        Node node = nodes.get(id);
        if (node != null) {
            scheduler.onHealthCheck(node, outcome, durationMillis, report, now);
        }
    }

    /**
     * After all events of one moment: carries out what is due now, and asks for a wake-up for what
     * is due later.
     */
    public void runDueWork(double now) {
        for (Operation arrival = arrivals.poll(); arrival != null; arrival = arrivals.poll()) {
            carryOut(arrival, scheduler.route(arrival, now));
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
            boolean hasProgress = false;
            for (Operation operation : turn.due()) {
                RoutingDecision decision = scheduler.route(operation, now);
                hasProgress |= decision.kind() != RoutingDecision.Kind.WAIT;
                carryOut(operation, decision);
            }
            if (!hasProgress) {
                break; // asking again at the same moment would change nothing
            }
            turn = scheduler.nextTurn(now);
        }
        sink.scheduleWakeUp(turn.delay(), now);
    }

    private void carryOut(Operation operation, RoutingDecision decision) {
        switch (decision.kind()) {
            case SEND ->
                    sink.send(
                            operation.attempts.get(operation.attempts.size() - 1),
                            decision.timeout());
            case REJECT, ABANDON -> sink.endUnserved(operation, decision);
            case WAIT -> {}
        }
        removeIfFinished(operation);
    }

    private void removeIfFinished(Operation operation) {
        if (operation.ended && !operation.isInFlight()) {
            operations.remove(operation.id);
        }
    }
}
