package sagepulley.engine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import sagepulley.model.Volume;

/**
 * The volumes that operations have named, up to a limit of memory. Beyond it, volumes without an
 * operation in flight are forgotten, the least recently used first.
 *
 * <p>A volume that was named once only takes one of the places for newcomers, so that a client that
 * names ever new volumes does not displace those in use. Not thread-safe.
 */
final class VolumeTable {
    private static final int MAX_STATE_BYTES = 8 << 20;

    /** State of one volume without its usage by endpoint. */
    private static final int VOLUME_BYTES = 1_024;

    /** State of one volume for each endpoint. */
    private static final int ENDPOINT_BYTES = 8;

    private static final int MIN_VOLUMES = 1_024;

    /** Share of the places that volumes take which were named once only. */
    private static final double NEWCOMER_SHARE = 0.25;

    /** Volumes in flight that are passed over before one more than the limit is kept. */
    private static final int MAX_PASSED_OVER = 64;

    /** Creates the volume with an id. */
    interface Factory {
        Volume create(long id);
    }

    private final Consumer<Volume> onForgotten;
    private final Map<Long, Volume> newcomers = new LinkedHashMap<>();

    /** Volumes that were named more than once, the least recently used first. */
    private final Map<Long, Volume> established = new LinkedHashMap<>(16, 0.75f, true);

    /** Creates an empty table; the consumer is called with each volume that is forgotten. */
    VolumeTable(Consumer<Volume> onForgotten) {
        this.onForgotten = onForgotten;
    }

    /** Returns the number of volumes. */
    int size() {
        return newcomers.size() + established.size();
    }

    /** Returns the most volumes that are kept beside a number of endpoints. */
    static int maxVolumes(int endpoints) {
        return Math.max(MIN_VOLUMES, MAX_STATE_BYTES / (VOLUME_BYTES + ENDPOINT_BYTES * endpoints));
    }

    /** Returns the volume with an id, which is created if it is not known. */
    Volume get(long id, int endpoints, Factory factory) {
        Volume known = established.get(id);
        if (known != null) {
            return known;
        }
        int maxVolumes = maxVolumes(endpoints);
        int maxNewcomers = (int) (maxVolumes * NEWCOMER_SHARE);
        Volume newcomer = newcomers.remove(id);
        if (newcomer != null) {
            established.put(id, newcomer);
            limit(established, maxVolumes - maxNewcomers);
            return newcomer;
        }
        Volume created = factory.create(id);
        newcomers.put(id, created);
        limit(newcomers, maxNewcomers);
        return created;
    }

    private void limit(Map<Long, Volume> volumes, int max) {
        Iterator<Volume> eldest = volumes.values().iterator();
        for (int i = 0; i < MAX_PASSED_OVER && volumes.size() > max; i++) {
            Volume candidate = eldest.next();
            if (candidate.operationsInFlight == 0 && eldest.hasNext()) {
                eldest.remove();
                onForgotten.accept(candidate);
            }
        }
    }
}
