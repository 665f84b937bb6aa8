package sagepulley.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Caches which cell holds each extent, and keeps the waiters for unknown holders. A known holder
 * stays until {@link #forget} discards it.
 *
 * <p>While a claim is pending, other operations on the extent wait for its result. As the directory
 * may not answer, the wait is limited, and the caller decides about waiters whose time has expired.
 * Times are milliseconds. Not thread-safe.
 *
 * @param <W> the type of waiters
 */
public final class ExtentHolders<W> {
    /** Maximum time that a waiter waits for an unknown holder. */
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

    /** The subset of extents that have waiters. */
    private final Map<Long, Extent<W>> extentsWithWaiters = new HashMap<>();

    /** Returns the key of an extent of a volume, which is never 0. */
    public static long key(int volume, long extent) {
        return (long) volume << EXTENT_BITS | extent + 1;
    }

    /** Returns the volume of an extent's key. */
    public static int volume(long key) {
        return (int) (key >>> EXTENT_BITS);
    }

    /** Returns the cell that holds an extent, or -1 if it is unknown. */
    public int cell(long key) {
        Extent<W> extent = extents.get(key);
        return extent == null ? UNKNOWN_CELL : extent.cell;
    }

    /** Returns whether a claim for the extent is pending. */
    public boolean hasPendingClaim(long key) {
        Extent<W> extent = extents.get(key);
        return extent != null && extent.pendingClaims > 0;
    }

    /** Records that a claim for an extent was sent. */
    public void claimStarted(long key) {
        extents.computeIfAbsent(key, id -> new Extent<>()).pendingClaims++;
    }

    /**
     * Records that a claim ended. If no other is pending, removes and returns the extent's waiters.
     */
    public List<W> claimEnded(long key) {
        Extent<W> extent = extents.get(key);
        if (extent == null || --extent.pendingClaims > 0) {
            return List.of();
        }
        return takeWaiters(key, extent);
    }

    /**
     * Records the holder of an extent, unless one is known already, and removes and returns the
     * extent's waiters.
     */
    public List<W> holderLearned(long key, int cell) {
        Extent<W> extent = extents.computeIfAbsent(key, id -> new Extent<>());
        if (extent.cell == UNKNOWN_CELL) {
            extent.cell = cell;
        }
        return takeWaiters(key, extent);
    }

    /** Discards the known holder of an extent after a node reported that it lacks the extent. */
    public void forget(long key) {
        Extent<W> extent = extents.get(key);
        if (extent != null) {
            extent.cell = UNKNOWN_CELL;
            removeIfUnused(key, extent);
        }
    }

    /** Adds a waiter, which expires {@link #MAX_WAIT_MILLIS} from now. */
    public void addWaiter(long key, W waiter, double now) {
        Extent<W> extent = extents.computeIfAbsent(key, id -> new Extent<>());
        extent.waiters.add(new WaiterEntry<>(waiter, now + MAX_WAIT_MILLIS));
        extentsWithWaiters.put(key, extent);
    }

    /** Removes a waiter. Returns whether it was waiting. */
    public boolean removeWaiter(long key, W waiter) {
        Extent<W> extent = extentsWithWaiters.get(key);
        if (extent == null || !extent.waiters.removeIf(entry -> entry.waiter() == waiter)) {
            return false;
        }
        removeIfUnused(key, extent);
        return true;
    }

    /** Removes and returns all expired waiters. */
    public List<W> takeExpired(double now) {
        List<W> expired = new ArrayList<>(0);
        for (Iterator<Map.Entry<Long, Extent<W>>> entries =
                        extentsWithWaiters.entrySet().iterator();
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

    /** Returns the time at which the next waiter expires; infinite if there is none. */
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
