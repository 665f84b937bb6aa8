package sagepulley.scheduler;

import sagepulley.model.Operation;

/** What the scheduler keeps of an operation from its arrival to its end. */
final class QueuedRequest {
    final Operation operation;

    /** Its number among all that were ever queued; unset before its first wait. */
    long sequence;

    /** The group that it belongs to in its queue; owned by {@link WaitQueue}. */
    WaitQueue.GroupKey groupKey;

    /**
     * When its latency objective ends, in milliseconds, counted from the client's first attempt.
     */
    double objectiveEndsAt;

    /** Whether it stands in a queue. */
    boolean queued;

    /** The endpoint in whose queue it stands; null for a new object or a cell without endpoint. */
    EndpointState endpoint;

    /** The queue of its key; null where its traffic class is not ordered. */
    KeyQueue keyQueue;

    /** Drawn once from 0 to 1: an endpoint in slow start takes those with the lowest draw. */
    final double slowStartDraw;

    QueuedRequest(Operation operation, double slowStartDraw) {
        this.operation = operation;
        this.slowStartDraw = slowStartDraw;
    }

    /** The scheduler's state of an operation; null before it was first routed. */
    static QueuedRequest of(Operation operation) {
        return (QueuedRequest) operation.schedulerState;
    }
}
