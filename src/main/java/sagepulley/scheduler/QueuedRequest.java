package sagepulley.scheduler;

import sagepulley.model.Operation;

/** What is kept of an operation in hand. */
final class QueuedRequest {
    final Operation operation;

    /** Its place among all that ever stood in a queue. */
    long sequence;

    /** Whom it is like in its queue; the queue's own. */
    Object groupKey;

    /** When the target time ends, counted from the client's first try. */
    double objectiveAt;

    /** Whether it stands in a queue. */
    boolean queued;

    /** The seat in whose queue it stands; null for a new object or a shard without a node. */
    EndpointState endpoint;

    /** Where its band asks for order. */
    KeyQueue keyQueue;

    /** Drawn once: a cold node takes the lowest first. */
    final double slowStartDraw;

    QueuedRequest(Operation operation, double lot) {
        this.operation = operation;
        this.slowStartDraw = lot;
    }
}
