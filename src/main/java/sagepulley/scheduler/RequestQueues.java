package sagepulley.scheduler;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import sagepulley.model.Node;
import sagepulley.model.Operation;

/**
 * Holds all waiting operations: in the queue of the endpoint that holds their cell, in the queue of
 * new objects, or in a separate queue if no listed endpoint holds their cell. Times are
 * milliseconds.
 */
final class RequestQueues {
    private final EndpointTable endpoints;
    private final WaitQueue newObjects = new WaitQueue();

    /** Operations whose cell no listed endpoint holds. */
    private final WaitQueue withoutEndpoint = new WaitQueue();

    private final DeadlineIndex deadlines = new DeadlineIndex();

    /** Indexes of the endpoints with a non-empty queue, usually few of thousands. */
    private final BitSet endpointsWithQueue = new BitSet();

    private int size;
    private long version;

    RequestQueues(EndpointTable endpoints) {
        this.endpoints = endpoints;
    }

    /** Returns the number of waiting operations in all queues. */
    int size() {
        return size;
    }

    /** Returns the queue of new objects. */
    WaitQueue newObjects() {
        return newObjects;
    }

    /**
     * Returns a number that increases with every change that may affect which operation goes next.
     */
    long version() {
        return version;
    }

    /** Records a change outside the queues that may affect which operation goes next. */
    void markChanged() {
        version++;
    }

    /**
     * Returns the index of the first endpoint with a non-empty queue from the given index on, or -1
     * if there is none.
     */
    int nextEndpointWithQueue(int from) {
        return endpointsWithQueue.nextSetBit(from);
    }

    /** Adds an operation to the queue for its cell under the current endpoint list. */
    void enqueue(Operation operation) {
        version++;
        QueuedRequest request = QueuedRequest.of(operation);
        request.queued = true;
        size++;
        request.endpoint = null;
        deadlines.add(request);
        if (operation.shard < 0) {
            newObjects.add(request);
            return;
        }
        request.endpoint = endpoints.holderOf(operation.shard);
        if (request.endpoint == null) {
            withoutEndpoint.add(request);
            return;
        }
        request.endpoint.waitQueue.add(request);
        endpointsWithQueue.set(request.endpoint.index);
    }

    /** Removes an operation from its queue, if it is queued. */
    void dequeue(Operation operation) {
        QueuedRequest request = QueuedRequest.of(operation);
        if (!request.queued) {
            return;
        }
        version++;
        request.queued = false;
        size--;
        deadlines.remove(request);
        if (operation.shard < 0) {
            newObjects.remove(request);
        } else if (request.endpoint != null) {
            request.endpoint.waitQueue.remove(request);
            if (request.endpoint.waitQueue.isEmpty()) {
                endpointsWithQueue.clear(request.endpoint.index);
            }
        } else {
            withoutEndpoint.remove(request);
        }
    }

    /**
     * Sets the cell of an operation, -1 for a new object, and moves it to the queue for that cell
     * if it is queued.
     */
    void relocate(Operation operation, int cell) {
        boolean queued = QueuedRequest.of(operation).queued;
        dequeue(operation);
        operation.shard = cell;
        if (queued) {
            enqueue(operation);
        }
    }

    /**
     * Requeues operations that wait for an endpoint that is not ready or for a cell without an
     * endpoint.
     */
    void onEndpointList() {
        requeue(withoutEndpoint);
        for (EndpointState endpoint : endpoints.all()) {
            if (endpoint.node.phase != Node.Phase.READY) {
                requeue(endpoint.waitQueue);
            }
        }
    }

    private void requeue(WaitQueue queue) {
        for (Operation operation : queue.copyInOrder()) {
            dequeue(operation);
            enqueue(operation);
        }
    }

    /**
     * Returns the waiting operations that can no longer meet their latency objective or whose
     * deadline is reached, in the order of {@link DeadlineIndex#BY_QUEUE}. Records in wakeUp when
     * the next operation becomes overdue.
     */
    List<Operation> overdue(
            LatencyTracker latencies, double deadlineMarginMillis, WakeUpTime wakeUp, double now) {
        Set<Operation> found = new LinkedHashSet<>(0);
        for (DeadlineIndex.Group group : deadlines.groups()) {
            double required = latencies.requiredServiceTime(group.trafficClass, group.units);
            double objective = latencies.objective(group.trafficClass);
            // Each set is sorted by one of the three times that may end a wait, so only overdue
            // operations are visited.
            group.collectOverdue(
                    group.byObjective,
                    request -> request.objectiveEndsAt - required,
                    now,
                    found,
                    wakeUp::noLaterThan);
            group.collectOverdue(
                    group.byArrival,
                    request -> request.operation.arrivedAt + objective - required,
                    now,
                    found,
                    wakeUp::noLaterThan);
            group.collectOverdue(
                    group.byDeadline,
                    request -> request.operation.deadline - deadlineMarginMillis,
                    now,
                    found,
                    wakeUp::noLaterThan);
        }
        List<Operation> overdue = new ArrayList<>(found);
        overdue.sort(DeadlineIndex.BY_QUEUE);
        return overdue;
    }
}
