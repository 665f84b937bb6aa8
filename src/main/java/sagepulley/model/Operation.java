package sagepulley.model;

import java.util.ArrayList;
import java.util.List;

/** A client's read or write that this gateway has taken and owes one final answer. */
public final class Operation {
    public final long id;
    public final TrafficClass trafficClass;
    public final Volume volume;

    /** The piece of data; 0 for none. */
    public final long extent;

    public final double units;

    /**
     * The cell whose node holds the data, or -1 for a new object; what waits is told by
     * Scheduler.found.
     */
    public int shard;

    public final double arrivedAt;

    /** When the client gives up on this try. */
    public final double deadline;

    public final boolean clientRetry;
    public final List<Attempt> attempts = new ArrayList<>(2);

    /** Set once its one final answer is out, or the client has left. */
    public boolean ended;

    /** Whatever the decision module keeps with the operation; nobody else reads it. */
    public Object schedulerState;

    /** Whatever the host keeps with the operation; the decision module does not read it. */
    public Object engineState;

    public Operation(
            long id,
            TrafficClass trafficClass,
            Volume volume,
            long extent,
            double units,
            int shard,
            double arrivedAt,
            double deadline,
            boolean clientRepeat) {
        this.id = id;
        this.trafficClass = trafficClass;
        this.volume = volume;
        this.extent = extent;
        this.units = units;
        this.shard = shard;
        this.arrivedAt = arrivedAt;
        this.deadline = deadline;
        this.clientRetry = clientRepeat;
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
