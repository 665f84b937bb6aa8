package sagepulley.scheduler;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableSet;
import sagepulley.model.Operation;

/** Whose turn it is: which of the operations that wait goes to which endpoint next. */
final class RequestSelector {
    private final EndpointTable endpoints;
    private final RequestQueues queues;
    private final DispatchRules rules;
    private final RequestPriority priority;
    private final LatencyTracker latencies;
    private final OutlierDetector outliers;
    private final ConcurrencyLimiter concurrency;
    private final AdmissionController admission;
    private final SlowStartBudget slowStart;
    private final Router router;

    RequestSelector(
            EndpointTable endpoints,
            RequestQueues queues,
            DispatchRules rules,
            RequestPriority priority,
            LatencyTracker latencies,
            OutlierDetector outliers,
            ConcurrencyLimiter concurrency,
            AdmissionController admission,
            SlowStartBudget slowStart,
            Router router) {
        this.endpoints = endpoints;
        this.queues = queues;
        this.rules = rules;
        this.priority = priority;
        this.latencies = latencies;
        this.outliers = outliers;
        this.concurrency = concurrency;
        this.admission = admission;
        this.slowStart = slowStart;
        this.router = router;
    }

    /**
     * The operations to route now: by endpoint whose turn it is and who is overdue there, then the
     * same of new objects. Notes when the next one is overdue.
     */
    List<Operation> dueOperations(WakeUpTime wakeUp, double now) {
        List<Operation> due = new ArrayList<>(4);
        List<Operation> overdue = queues.overdue(latencies, rules.deadlineMargin(), wakeUp, now);
        Operation newObject = firstNewObject(now);
        int next = 0;
        for (int i = queues.nextEndpointWithQueue(0);
                i >= 0;
                i = queues.nextEndpointWithQueue(i + 1)) {
            EndpointState endpoint = endpoints.get(i);
            Operation selected = select(endpoint, now);
            if (selected != null && precedesNewObject(selected, newObject, endpoint, now)) {
                due.add(selected);
            }
            next = addOverdue(overdue, next, endpoint, due);
        }
        if (newObject != null && placementFor(newObject, now) != null) {
            due.add(newObject);
        }
        addOverdue(overdue, next, null, due);
        return due;
    }

    /** Adds the overdue of an endpoint's queue, or all that are left, and gives the next index. */
    private static int addOverdue(
            List<Operation> overdue, int from, EndpointState endpoint, List<Operation> due) {
        int next = from;
        while (next < overdue.size()
                && (endpoint == null || QueuedRequest.of(overdue.get(next)).endpoint == endpoint)) {
            Operation operation = overdue.get(next++);
            if (!due.contains(operation)) {
                due.add(operation);
            }
        }
        return next;
    }

    /** The endpoint to which an operation may go now, if it is its turn there; null if it waits. */
    EndpointState endpointFor(Operation operation, double now) {
        if (operation.shard < 0) {
            return firstNewObject(now) == operation ? placementFor(operation, now) : null;
        }
        EndpointState endpoint = QueuedRequest.of(operation).endpoint;
        if (endpoint == null || select(endpoint, now) != operation) {
            return null;
        }
        return precedesNewObject(operation, firstNewObject(now), endpoint, now) ? endpoint : null;
    }

    /** The new object that ranks first; null if none waits. */
    private Operation firstNewObject(double now) {
        return highestPriority(queues.newObjects(), null, now);
    }

    /**
     * Whether an operation selected for an endpoint goes there before the first new object, which
     * may rank lower, go elsewhere or be null.
     */
    private boolean precedesNewObject(
            Operation selected, Operation newObject, EndpointState endpoint, double now) {
        return newObject == null
                || !priority.outranks(newObject, selected, endpoint, now)
                || placementFor(newObject, now) != endpoint;
    }

    /** Where a new object goes now by its placement score; null if no endpoint may take it. */
    private EndpointState placementFor(Operation newObject, double now) {
        return router.lowestScore(
                endpoints.all(), endpoint -> isEligible(endpoint, newObject, now), now);
    }

    /**
     * Whether an endpoint may take a new object before what waits for it. An endpoint that fails at
     * once, or that is in slow start, has few placements and no latency: it would draw all of them.
     */
    private boolean isEligible(EndpointState endpoint, Operation operation, double now) {
        if (!concurrency.hasCapacity(endpoint, now)
                || !concurrency.isBelowLimit(endpoint)
                || !outliers.isHealthy(endpoint, now)
                || !isDispatchable(operation, endpoint, now)
                || !endpoint.node.acceptsNewObjects) {
            return false;
        }
        Operation head = select(endpoint, now);
        return head == null || priority.outranks(operation, head, endpoint, now);
    }

    private boolean isDispatchable(Operation operation, EndpointState endpoint, double now) {
        return rules.isAllowed(operation, endpoint, now)
                && !admission.isHeldBack(operation, endpoint, now);
    }

    /**
     * The operation of an endpoint's queue whose turn it is: one of the extent sent there last, a
     * few in a row, then the one that ranks first; null if none may go.
     */
    private Operation select(EndpointState endpoint, double now) {
        if (endpoint.waitQueue.isEmpty() || !concurrency.hasCapacity(endpoint, now)) {
            return null;
        }
        // Often asked again with nothing changed, by nextTurn and route one after the other.
        if (endpoint.selectedAt != now || endpoint.selectedVersion != queues.version()) {
            endpoint.selected = computeSelection(endpoint, now);
            endpoint.selectedAt = now;
            endpoint.selectedVersion = queues.version();
        }
        return endpoint.selected;
    }

    private Operation computeSelection(EndpointState endpoint, double now) {
        if (endpoint.runRemaining > 0) {
            for (Operation operation : endpoint.waitQueue.operationsOfExtent(endpoint.lastExtent)) {
                if (isDispatchable(operation, endpoint, now)) {
                    return operation;
                }
            }
        }
        Operation best = highestPriority(endpoint.waitQueue, endpoint, now);
        return concurrency.isBelowLimit(endpoint) || outliers.isUnresponsive(endpoint, now)
                ? best
                : null;
    }

    /**
     * The operation of a queue that ranks first and may go; the endpoint is null for new objects.
     * Those of a group differ only in their deadline and in being late, so that one that is not
     * late stands for the rest, except at an endpoint in slow start, where each has a draw of its
     * own.
     */
    private Operation highestPriority(WaitQueue queue, EndpointState endpoint, double now) {
        boolean drawsDiffer = endpoint != null && slowStart.isWarmingUp(endpoint, now);
        QueuedRequest best = null;
        int bestLevel = -1;
        for (NavigableSet<QueuedRequest> group : queue.groups()) {
            for (QueuedRequest request : group) {
                Operation operation = request.operation;
                boolean representsGroup = !drawsDiffer && isOnTime(operation, now);
                if (endpoint == null || isDispatchable(operation, endpoint, now)) {
                    // A level is taken only where there is another to compare it with.
                    if (best != null && bestLevel < 0) {
                        bestLevel = priority.level(best.operation, endpoint, now);
                    }
                    int level =
                            best != null || group.size() > 1
                                    ? priority.level(operation, endpoint, now)
                                    : -1;
                    if (best == null
                            || level < bestLevel
                            || (level == bestLevel && RequestPriority.isEarlier(request, best))) {
                        best = request;
                        bestLevel = level;
                    }
                }
                if (representsGroup) {
                    break;
                }
            }
        }
        return best == null ? null : best.operation;
    }

    private boolean isOnTime(Operation operation, double now) {
        return latencies.latestStartAt(operation) > now && !rules.isPastDeadline(operation, now);
    }
}
