package sagepulley.platform;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import sagepulley.model.Band;
import sagepulley.model.Node;
import sagepulley.model.Operation;
import sagepulley.model.Outcome;
import sagepulley.model.Reason;

/** What has happened since the start, for the log. */
final class Counts {
    long taken;
    long badCommands;
    long noRoom;
    long left;
    long hops;
    private long onTime;
    private long late;
    private final Map<Outcome, Long> outcomes = new EnumMap<>(Outcome.class);
    private final Map<String, Long> givenUp = new TreeMap<>();

    void ended(Outcome outcome, Node node) {
        outcomes.merge(outcome, 1L, Long::sum);
    }

    void satisfied(Operation operation, double now) {
        if (now - operation.arrivedAt <= operation.band.targetTime()) {
            onTime++;
        } else {
            late++;
        }
    }

    void gaveUp(Band band, Reason reason) {
        givenUp.merge(band.name() + "/" + reason, 1L, Long::sum);
    }

    @Override
    public String toString() {
        return "taken=" + taken + " on-time=" + onTime + " late=" + late + " left=" + left + " bad=" + badCommands
                + " no-room=" + noRoom + " hops=" + hops + " outcomes=" + outcomes + " given-up=" + givenUp;
    }
}
