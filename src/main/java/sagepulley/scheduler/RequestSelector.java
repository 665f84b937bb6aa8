package sagepulley.scheduler;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableSet;
import sagepulley.model.Operation;

/** Selects which waiting operation is sent to which endpoint next. */
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
     * Returns the operations to route now: for each endpoint the selected operation and the overdue
     * ones of its queue, then the same for new objects, then overdue operations without an
     * endpoint. Records in wakeUp when the next operation becomes overdue.
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

    /**
     * Adds the overdue operations of an endpoint's queue, or all remaining ones if the endpoint is
     * null, and returns the index of the next one.
     */
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

    /** Returns the endpoint to which the operation may be sent now, or null if it waits. */
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

    /** Returns the new object of the highest priority, or null if none waits. */
    private Operation firstNewObject(double now) {
        return highestPriority(queues.newObjects(), null, now);
    }

    /**
     * Returns whether the operation selected for an endpoint is sent before the first new object.
     * This holds if there is no new object, if it does not outrank the selected operation, or if it
     * is not placed at this endpoint.
     */
    private boolean precedesNewObject(
            Operation selected, Operation newObject, EndpointState endpoint, double now) {
        return newObject == null
                || !priority.outranks(newObject, selected, endpoint, now)
                || placementFor(newObject, now) != endpoint;
    }

    /**
     * Returns the endpoint with the lowest placement score for a new object, or null if none is
     * eligible.
     */
    private EndpointState placementFor(Operation newObject, double now) {
        return router.lowestScore(
                endpoints.all(), endpoint -> isEligible(endpoint, newObject, now), now);
    }

    /**
     * Returns whether a new object may be placed at an endpoint now, ahead of the operations that
     * wait there. Endpoints that fail fast or are in slow start are excluded: with few placements
     * and no latency history their scores would attract all new objects.
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
     * Returns the operation to send next from an endpoint's queue, or null if none may be sent. A
     * few operations on the extent that was sent last go first, then the one of the highest
     * priority.
     */
    private Operation select(EndpointState endpoint, double now) {
        if (endpoint.waitQueue.isEmpty() || !concurrency.hasCapacity(endpoint, now)) {
            return null;
        }
        // Cached, as nextTurn and the following route calls need the same selection.
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
     * Returns the dispatchable operation of the highest priority in a queue. For new objects the
     * endpoint is null, and all that the order of their key allows count as dispatchable; one that
     * waits for its turn must not hold back others.
     *
     * <p>Operations in a group differ only in deadline and lateness, so the first that is on time
     * represents the rest. At an endpoint in slow start all are examined, as their slow-start draws
     * differ.
     */
    private Operation highestPriority(WaitQueue queue, EndpointState endpoint, double now) {
        boolean drawsDiffer = endpoint != null && slowStart.isWarmingUp(endpoint, now);
        QueuedRequest best = null;
        int bestLevel = -1;
        for (NavigableSet<QueuedRequest> group : queue.groups()) {
            for (QueuedRequest request : group) {
                Operation operation = request.operation;
                boolean representsGroup = !drawsDiffer && isOnTime(operation, now);
                boolean mayBeNext =
                        endpoint == null
                                ? rules.isFirstOfKey(operation, now)
                                : isDispatchable(operation, endpoint, now);
                if (mayBeNext) {
                    // Computes a level only where there is another operation to compare with.
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
