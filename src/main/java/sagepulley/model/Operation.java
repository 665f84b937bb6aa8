package sagepulley.model;

import java.util.ArrayList;
import java.util.List;

/** A client's read or write that this gateway has accepted and answers exactly once. */
public final class Operation {
    public final long id;
    public final TrafficClass trafficClass;
    public final Volume volume;

    /** The extent that is read or written; 0 for none. */
    public final long extent;

    public final double units;

    /**
     * The cell of the endpoint that holds the extent, or -1 for a new object. Once the scheduler
     * has received the operation, only Scheduler.onExtentLocated changes it.
     */
    public int shard;

    public final double arrivedAt;

    /** The time at which the client stops waiting for this request, in milliseconds. */
    public final double deadline;

    public final boolean clientRetry;
    public final List<Attempt> attempts = new ArrayList<>(2);

    /** Set when the final answer was given or the client has cancelled the operation. */
    public boolean ended;

    /** The scheduler's state of the operation; accessed only by the scheduler. */
    public Object schedulerState;

    /**
     * The state that the scheduler's caller keeps of the operation; the scheduler does not read it.
     */
    public Object engineState;

    /** Creates an operation that has just arrived, at arrivedAt. */
    public Operation(
            long id,
            TrafficClass trafficClass,
            Volume volume,
            long extent,
            double units,
            int shard,
            double arrivedAt,
            double deadline,
            boolean clientRetry) {
        this.id = id;
        this.trafficClass = trafficClass;
        this.volume = volume;
        this.extent = extent;
        this.units = units;
        this.shard = shard;
        this.arrivedAt = arrivedAt;
        this.deadline = deadline;
        this.clientRetry = clientRetry;
    }

    /** Returns whether any attempt has no outcome yet. */
    public boolean isInFlight() {
        for (Attempt attempt : attempts) {
            if (attempt.outcome == null) {
                return true;
            }
        }
        return false;
    }
}
