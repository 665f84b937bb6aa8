package sagepulley.scheduler;

import sagepulley.model.Operation;

/** The scheduler's state of an operation, from its first routing to its end. */
final class QueuedRequest {
    final Operation operation;

    /** The position among all operations ever queued, assigned anew each time it is queued. */
    long sequence;

    /** The group in the wait queue; owned by {@link WaitQueue}. */
    WaitQueue.GroupKey groupKey;

    /**
     * The end of the latency objective, in milliseconds; a recognised client retry keeps that of
     * the first request.
     */
    double objectiveEndsAt;

    /** Whether the operation is in a wait queue. */
    boolean queued;

    /**
     * The endpoint of the current or latest wait queue; null for a new object or a cell without an
     * endpoint.
     */
    EndpointState endpoint;

    /**
     * The queue of the operation's key; null if its traffic class is not ordered, it has no extent,
     * or it has ended.
     */
    KeyQueue keyQueue;

    /** The position of the operation's request in the order of arrival, if it has a key queue. */
    long keyPosition;

    /** Whether the scheduler's caller is to be notified once the operation is first of its key. */
    boolean reportOnceFirst;

    /**
     * A random number from 0 to 1; an endpoint in slow start admits operations with low numbers.
     */
    final double slowStartDraw;

    QueuedRequest(Operation operation, double slowStartDraw) {
        this.operation = operation;
        this.slowStartDraw = slowStartDraw;
    }

    /** Returns the scheduler's state of an operation, or null before it was first routed. */
    static QueuedRequest of(Operation operation) {
        return (QueuedRequest) operation.schedulerState;
    }
}
