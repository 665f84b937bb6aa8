package sagepulley.scheduler;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import sagepulley.model.Node;
import sagepulley.model.Operation;

/**
 * All operations that wait: in the queue of the endpoint that holds their data, among the new
 * objects, or apart where no listed endpoint holds their cell. Times are milliseconds.
 */
final class RequestQueues {
    private final EndpointTable endpoints;
    private final WaitQueue newObjects = new WaitQueue();

    /** Operations whose cell no listed endpoint holds. */
    private final WaitQueue withoutEndpoint = new WaitQueue();

    private final DeadlineIndex deadlines = new DeadlineIndex();

    /** Indexes of the endpoints with a queue: of thousands of endpoints most have none. */
    private final BitSet endpointsWithQueue = new BitSet();

    private int size;
    private long version;

    RequestQueues(EndpointTable endpoints) {
        this.endpoints = endpoints;
    }

    /** How many operations wait in all. */
    int size() {
        return size;
    }

    /** The new objects that wait. */
    WaitQueue newObjects() {
        return newObjects;
    }

    /** Changes with everything that may change whose turn it is. */
    long version() {
        return version;
    }

    /** Something outside of the queues may have changed whose turn it is. */
    void markChanged() {
        version++;
    }

    /** The next index from the given one of an endpoint with a queue; -1 if there is none. */
    int nextEndpointWithQueue(int from) {
        return endpointsWithQueue.nextSetBit(from);
    }

    /** Puts an operation into the queue where it belongs now. */
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

    /** Takes an operation out of its queue, if it stands in one. */
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

    /** The cell of an operation became known (-1: it is a new object); its queue may be another. */
    void relocate(Operation operation, int cell) {
        boolean queued = QueuedRequest.of(operation).queued;
        dequeue(operation);
        operation.shard = cell;
        if (queued) {
            enqueue(operation);
        }
    }

    /** Queues anew whoever waits for an endpoint that is not ready, or for a cell without one. */
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
     * The operations that wait and would be late, or whose deadline is reached, in the order of
     * their queues: the endpoints', new objects, those without endpoint.
     */
    List<Operation> overdue(
            LatencyTracker latencies, double deadlineMarginMillis, WakeUpTime wakeUp, double now) {
        List<Operation> overdue = new ArrayList<>(0);
        for (DeadlineIndex.Group group : deadlines.groups()) {
            double required = latencies.requiredServiceTime(group.trafficClass, group.units);
            double objective = latencies.objective(group.trafficClass);
            // Sorted by each of the three times that may end it: only the overdue are visited.
            group.collectOverdue(
                    group.byObjective,
                    request -> request.objectiveEndsAt - required,
                    now,
                    overdue,
                    wakeUp::noLaterThan);
            group.collectOverdue(
                    group.byArrival,
                    request -> request.operation.arrivedAt + objective - required,
                    now,
                    overdue,
                    wakeUp::noLaterThan);
            group.collectOverdue(
                    group.byDeadline,
                    request -> request.operation.deadline - deadlineMarginMillis,
                    now,
                    overdue,
                    wakeUp::noLaterThan);
        }
        overdue.sort(DeadlineIndex.BY_QUEUE);
        return overdue;
    }
}
