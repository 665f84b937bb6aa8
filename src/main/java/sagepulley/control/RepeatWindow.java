package sagepulley.control;

import java.util.LinkedHashMap;
import java.util.Map;
import sagepulley.model.Operation;

/**
 * Operations that were lately given up or left unserved, by extent. A client that asks again keeps
 * the target time of its first try. Times are milliseconds.
 */
final class RepeatWindow {
    private static final int MOST_KEPT = 200;

    /**
     * A repeat has this part of the target time less patience left than others of its band. Any
     * other with little patience is only hurried: its target time has just begun.
     */
    private static final double PATIENCE_GONE = 0.1;

    /** When the target time of a first try ends. */
    private final Map<Long, Double> targetEnds =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, Double> eldest) {
                    return size() > MOST_KEPT;
                }
            };

    /** The operation has ended unserved, and its client may ask again; extent 0 names none. */
    void endedUnserved(Operation operation, double itsTargetEnds) {
        if (operation.extent != 0) {
            targetEnds.put(operation.extent, itsTargetEnds);
        }
    }

    /**
     * When the target time of an operation ends that has just come.
     *
     * @param patienceGone how much less patience it has left than others of its band
     */
    double targetEndsOf(Operation operation, double patienceGone, double now) {
        boolean mayBeRepeat = patienceGone > PATIENCE_GONE * operation.band.targetTime();
        Double first = mayBeRepeat ? targetEnds.get(operation.extent) : null;
        if (first != null) {
            return first;
        }
        return now + operation.band.targetTime() - (operation.clientRepeat ? patienceGone : 0);
    }
}
