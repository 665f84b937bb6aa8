package sagepulley.model;

import java.util.ArrayList;
import java.util.List;

/** A client's read or write that this gateway has taken and gives one final answer. */
public final class Operation {
    public final long id;
    public final TrafficClass trafficClass;
    public final Volume volume;

    /** The extent that it reads or writes; 0 for none. */
    public final long extent;

    public final double units;

    /**
     * The cell whose endpoint holds the extent, or -1 for a new object; once the scheduler knows
     * the operation, only Scheduler.onExtentLocated changes it.
     */
    public int shard;

    public final double arrivedAt;

    /** When the client gives up on this request, in milliseconds. */
    public final double deadline;

    public final boolean clientRetry;
    public final List<Attempt> attempts = new ArrayList<>(2);

    /** Set once its one final answer is given, or the client has cancelled it. */
    public boolean ended;

    /** What the scheduler keeps of the operation; nobody else reads it. */
    public Object schedulerState;

    /** What the host of the scheduler keeps of the operation; the scheduler does not read it. */
    public Object engineState;

    /** An operation that has just arrived, at arrivedAt. */
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

    /** Whether an attempt of it has no outcome yet. */
    public boolean isInFlight() {
        for (Attempt attempt : attempts) {
            if (attempt.outcome == null) {
                return true;
            }
        }
        return false;
    }
}
