package sagepulley.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * What this gateway knows of which cell holds which extent, and who waits to learn it. A holder,
 * once known, stays until a node denies it. While a claim is pending, other operations on the
 * extent wait for it, but not long: a directory may stop answering, and a waiter past its time is
 * handed back to be decided about. Times are milliseconds. For one thread.
 *
 * @param <W> who waits
 */
public final class ExtentHolders<W> {
    /** A waiter is handed back with the holder unknown after so long. */
    public static final double MAX_WAIT_MILLIS = 50;

    private static final int UNKNOWN_CELL = -1;
    private static final int EXTENT_BITS = 40;

    private record WaiterEntry<W>(W waiter, double deadline) {}

    private static final class Extent<W> {
        int cell = UNKNOWN_CELL;
        int pendingClaims;
        final List<WaiterEntry<W>> waiters = new ArrayList<>(0);
    }

    private final Map<Long, Extent<W>> extents = new HashMap<>();

    /** Those of them that have waiters. */
    private final Map<Long, Extent<W>> extentsWithWaiters = new HashMap<>();

    /** One number for an extent of a volume, never 0. */
    public static long key(int volume, long extent) {
        return (long) volume << EXTENT_BITS | extent + 1;
    }

    /** The cell that holds an extent, or -1 where none is known. */
    public int cell(long key) {
        Extent<W> extent = extents.get(key);
        return extent == null ? UNKNOWN_CELL : extent.cell;
    }

    /** Whether a claim for the extent is pending. */
    public boolean hasPendingClaim(long key) {
        Extent<W> extent = extents.get(key);
        return extent != null && extent.pendingClaims > 0;
    }

    /** A claim is sent. */
    public void claimStarted(long key) {
        extents.computeIfAbsent(key, id -> new Extent<>()).pendingClaims++;
    }

    /** A claim has ended; returns who waited for it, if it was the last. */
    public List<W> claimEnded(long key) {
        Extent<W> extent = extents.get(key);
        if (extent == null || --extent.pendingClaims > 0) {
            return List.of();
        }
        return takeWaiters(key, extent);
    }

    /**
     * A directory or node named the holder; returns who waited to learn it. The first holder that
     * was named stands.
     */
    public List<W> holderLearned(long key, int cell) {
        Extent<W> extent = extents.computeIfAbsent(key, id -> new Extent<>());
        if (extent.cell == UNKNOWN_CELL) {
            extent.cell = cell;
        }
        return takeWaiters(key, extent);
    }

    /** What was known of an extent's holder proved wrong. */
    public void forget(long key) {
        Extent<W> extent = extents.get(key);
        if (extent != null) {
            extent.cell = UNKNOWN_CELL;
            removeIfUnused(key, extent);
        }
    }

    /** Adds a waiter, whose time begins now. */
    public void addWaiter(long key, W waiter, double now) {
        Extent<W> extent = extents.computeIfAbsent(key, id -> new Extent<>());
        extent.waiters.add(new WaiterEntry<>(waiter, now + MAX_WAIT_MILLIS));
        extentsWithWaiters.put(key, extent);
    }

    /** Removes a waiter; false if it was none. */
    public boolean removeWaiter(long key, W waiter) {
        Extent<W> extent = extentsWithWaiters.get(key);
        if (extent == null || !extent.waiters.removeIf(entry -> entry.waiter() == waiter)) {
            return false;
        }
        removeIfUnused(key, extent);
        return true;
    }

    /** Removes and returns every waiter whose time is over. */
    public List<W> takeExpired(double now) {
        List<W> expired = new ArrayList<>(0);
        for (Iterator<Map.Entry<Long, Extent<W>>> entries = extentsWithWaiters.entrySet().iterator();
                entries.hasNext(); ) {
            Extent<W> extent = entries.next().getValue();
            extent.waiters.removeIf(
                    entry -> entry.deadline() <= now && expired.add(entry.waiter()));
            if (extent.waiters.isEmpty()) {
                entries.remove();
            }
        }
        return expired;
    }

    /** When the next waiter's time will be over; infinity if nobody waits. */
    public double nextExpiry() {
        double next = Double.POSITIVE_INFINITY;
        for (Extent<W> extent : extentsWithWaiters.values()) {
            for (WaiterEntry<W> entry : extent.waiters) {
                next = Math.min(next, entry.deadline());
            }
        }
        return next;
    }

    private List<W> takeWaiters(long key, Extent<W> extent) {
        if (extent.waiters.isEmpty()) {
            removeIfUnused(key, extent);
            return List.of();
        }
        List<W> released = new ArrayList<>(extent.waiters.size());
        for (WaiterEntry<W> entry : extent.waiters) {
            released.add(entry.waiter());
        }
        extent.waiters.clear();
        removeIfUnused(key, extent);
        return released;
    }

    private void removeIfUnused(long key, Extent<W> extent) {
        if (extent.waiters.isEmpty()) {
            extentsWithWaiters.remove(key);
            if (extent.cell == UNKNOWN_CELL && extent.pendingClaims <= 0) {
                extents.remove(key);
            }
        }
    }
}
