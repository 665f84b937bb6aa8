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
 * Runs the scheduler of one gateway: owns the operations in flight, the endpoints and the volumes,
 * and carries out the work that is due. A protocol adapter reports events to it, and decisions go
 * to the sink. Confined to one thread. Times are milliseconds on one monotonic clock.
 */
public final class GatewayEngine {
    /** A removed endpoint is pruned if it is not listed again within this time. */
    private static final double MAX_REMOVED_MILLIS = 30_000;

    private final Deployment deployment;
    private final DecisionSink sink;
    private final Scheduler scheduler;
    private final Map<Long, Operation> operations = new HashMap<>();
    private final VolumeTable volumes;
    private final Map<Integer, Node> nodes = new LinkedHashMap<>();
    private final Map<Integer, Double> removedAt = new HashMap<>();

    /**
     * Operations that are not routed yet; they are routed after all events of the same time, so
     * that all arrivals of one moment are known before anything is sent.
     */
    private final Queue<Operation> arrivals = new ArrayDeque<>();

    /** Creates a gateway without endpoints. The seed makes its random draws reproducible. */
    public GatewayEngine(Deployment deployment, long seed, DecisionSink sink) {
        this.deployment = deployment;
        this.sink = sink;
        this.scheduler = new Scheduler(deployment, seed);
        this.volumes = new VolumeTable(scheduler::onVolumeForgotten);
    }

    /** Returns the settings of the deployment. */
    public Deployment deployment() {
        return deployment;
    }

    /**
     * Applies entries of the endpoint list; a complete list removes the endpoints that it omits.
     * Returns the endpoints that were pruned because they were removed long ago.
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
     * Prunes endpoints that were removed long ago and have no attempt in flight, which bounds
     * memory use. Until then an endpoint that is listed again keeps its state.
     */
    private List<Node> pruneRemoved(double now) {
        Set<Node> inUse = nodesInUse();
        List<Node> pruned = new ArrayList<>(0);
        for (Node node : nodes.values()) {
            if (node.phase != Node.Phase.REMOVED) {
                removedAt.remove(node.id);
            } else if (now - removedAt.computeIfAbsent(node.id, id -> now) > MAX_REMOVED_MILLIS
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

    /** Records that the endpoint list was current at a time. */
    public void onListConfirmed(double asOf) {
        scheduler.onListConfirmed(asOf);
    }

    /** Records that discovery was unreachable for every client at a time. */
    public void onDiscoveryUnreachable(double unreachableAt) {
        scheduler.onDiscoveryUnreachable(unreachableAt);
    }

    /** Records that a poll of the endpoint list failed or its watch ended. */
    public void onPollFailed(double now) {
        scheduler.onPollFailed(now);
    }

    /** Records when a new configuration was notified, which may move discovery. */
    public void onReloadNotified(double notifiedAt) {
        scheduler.onReloadNotified(notifiedAt);
    }

    /**
     * Records that a configuration, whose reading began at a time, was applied or found unusable.
     */
    public void onConfigurationRead(double readAt) {
        scheduler.onConfigurationRead(readAt);
    }

    /** Records that discovery has a new address, which was not polled yet. */
    public void onDiscoveryMoved(double now) {
        scheduler.onDiscoveryMoved(now);
    }

    /** Accepts an operation, which {@link #runDueWork} routes unless its client cancels before. */
    public void onArrival(Operation operation) {
        operations.put(operation.id, operation);
        operation.volume.operationsInFlight++;
        arrivals.add(operation);
    }

    /** Returns the volume with an id; creates it under the given plan if it is not known. */
    public Volume volume(long id, int plan) {
        return volumes.get(
                id, nodes.size(), newId -> new Volume(newId, deployment.plans().get(plan)));
    }

    /** Returns the number of volumes whose state is kept. */
    public int volumeCount() {
        return volumes.size();
    }

    /** Returns the operation with an id; null if none is in flight. */
    public Operation operation(long id) {
        return operations.get(id);
    }

    /** Returns all operations that have not ended or have an attempt in flight. */
    public Collection<Operation> inFlight() {
        return Collections.unmodifiableCollection(operations.values());
    }

    /** Returns the endpoint with an id; null if it is not known. */
    public Node node(int id) {
        return nodes.get(id);
    }

    /** Returns all known endpoints, including removed ones that are not pruned yet. */
    public Collection<Node> nodes() {
        return Collections.unmodifiableCollection(nodes.values());
    }

    /** Returns the scheduler's statistics of each traffic class, in the order of classes. */
    public List<TrafficClassView> trafficClassViews() {
        return TrafficClassView.of(scheduler);
    }

    /** Counts the waiting operations by the reason that they are not sent now. */
    public Map<Reason, Integer> waitingByReason(double now) {
        Map<Reason, Integer> waiting = new EnumMap<>(Reason.class);
        for (Operation operation : operations.values()) {
            if (!operation.ended && !operation.isInFlight() && !arrivals.contains(operation)) {
                waiting.merge(WaitExplainer.reasonFor(scheduler, operation, now), 1, Integer::sum);
            }
        }
        return waiting;
    }

    /** Returns an attempt of an operation in flight; null if it is not known. */
    public Attempt attempt(long operation, int number) {
        Operation known = operations.get(operation);
        return known == null || number >= known.attempts.size() ? null : known.attempts.get(number);
    }

    /**
     * Processes the end of an attempt whose outcome is set, and reroutes the operation if required.
     *
     * @param operationEnded whether the operation ended with the attempt
     */
    public void onAttemptEnded(Attempt attempt, boolean operationEnded, double now) {
        Operation operation = attempt.operation;
        operation.ended |= operationEnded;
        if (scheduler.onAttemptEnded(attempt, now) == FollowUp.ROUTE_AGAIN) {
            carryOut(operation, scheduler.route(operation, now));
        }
        removeIfFinished(operation);
    }

    /** Returns whether an attempt, nothing of which was written yet, may still be sent. */
    public boolean mayStart(Attempt attempt, double now) {
        return scheduler.mayStart(attempt, now);
    }

    /** Processes a client's cancellation; ignores an operation that is unknown or has ended. */
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

    /** Processes the result of a health check; ignores an unknown endpoint. */
    public void onHealthCheck(
            int id, Outcome outcome, double durationMillis, double[] report, double now) {
        Node node = nodes.get(id);
        if (node != null) {
            scheduler.onHealthCheck(node, outcome, durationMillis, report, now);
        }
    }

    /**
     * Carries out the work that is due, and schedules a wake-up for later work. Called after all
     * events of the same time.
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
                break; // another turn at the same time would change nothing
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
        if (operation.ended && !operation.isInFlight() && operations.remove(operation.id) != null) {
            operation.volume.operationsInFlight--;
        }
    }
}
