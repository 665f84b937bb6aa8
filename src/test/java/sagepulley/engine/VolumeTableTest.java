package sagepulley.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import sagepulley.model.Volume;

/** Tests that volumes which clients name do not fill the memory. */
class VolumeTableTest {
    private static final int ENDPOINTS = 12;

    private final Set<Long> forgotten = new HashSet<>();
    private final VolumeTable table = new VolumeTable(volume -> forgotten.add(volume.id));

    private Volume get(long id) {
        return table.get(id, ENDPOINTS, newId -> new Volume(newId, null));
    }

    /** Guards against volumes that are kept for good, one for each name that a client invents. */
    @Test
    void everNewNamesLeaveVolumesInUse() {
        Volume inUse = get(1);
        get(1);
        for (long id = 100; id < 50_000; id++) {
            get(id);
            if (id % 1_000 == 0) {
                assertSame(inUse, get(1));
            }
        }
        assertTrue(table.size() <= VolumeTable.maxVolumes(ENDPOINTS));
        assertTrue(forgotten.contains(100L));
        assertEquals(49_900 + 1 - table.size(), forgotten.size());
    }

    /** Guards against a volume that is forgotten while its operations are accounted for. */
    @Test
    void volumeWithAnOperationInFlightIsKept() {
        Volume inFlight = get(1);
        inFlight.operationsInFlight = 1;
        for (long id = 100; id < 20_000; id++) {
            get(id);
        }
        assertSame(inFlight, get(1));
        assertNotSame(get(100), inFlight);
    }

    /** Guards against volumes that fill the memory because each is named twice. */
    @Test
    void leastRecentlyUsedVolumeIsForgottenFirst() {
        int max = VolumeTable.maxVolumes(ENDPOINTS);
        for (long id = 0; id < 3L * max; id++) {
            get(id);
            get(id);
        }
        assertTrue(table.size() <= max);
        assertTrue(forgotten.contains(0L));
        assertTrue(!forgotten.contains(3L * max - 1));
    }
}
