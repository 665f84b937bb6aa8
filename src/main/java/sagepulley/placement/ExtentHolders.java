package sagepulley.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * What this gateway knows of which cell holds which extent, and who waits to learn it. A holder,
 * once known, stays until a node denies it. While a claim is out, others of the extent wait for it,
 * but not long: directories fall silent, and whoever waits is handed on to be decided about. Times
 * are milliseconds.
 *
 * @param <W> who waits
 */
public final class ExtentHolders<W> {
    /** Who waits so long for the directory is handed on with the holder unknown. */
    public static final double MAX_WAIT_MILLIS = 50;

    private static final int NOBODY = -1;

    private record Waiting<W>(W who, double until) {}

    private static final class Place<W> {
        int cell = NOBODY;
        int claims;
        final List<Waiting<W>> waiting = new ArrayList<>(0);
    }

    private final Map<Long, Place<W>> places = new HashMap<>();

    /** Extents for which somebody waits. */
    private final Map<Long, Place<W>> awaited = new HashMap<>();

    /** One number for an extent of a volume, never 0. */
    public static long key(int volume, long extent) {
        return (long) volume << 40 | extent + 1;
    }

    /** The cell that holds an extent, or -1 where none is known. */
    public int cell(long key) {
        Place<W> place = places.get(key);
        return place == null ? NOBODY : place.cell;
    }

    /** Whether a claim for the extent is out. */
    public boolean hasPendingClaim(long key) {
        Place<W> place = places.get(key);
        return place != null && place.claims > 0;
    }

    /** A claim goes out. */
    public void claimStarted(long key) {
        places.computeIfAbsent(key, any -> new Place<>()).claims++;
    }

    /** A claim is over; tells who waited for it, if it was the last. */
    public List<W> claimEnded(long key) {
        Place<W> place = places.get(key);
        if (place == null || --place.claims > 0) {
            return List.of();
        }
        return released(key, place);
    }

    /** The holder was told; tells who waited to learn it. The first that was told stands. */
    public List<W> holderLearned(long key, int cell) {
        Place<W> place = places.computeIfAbsent(key, any -> new Place<>());
        if (place.cell == NOBODY) {
            place.cell = cell;
        }
        return released(key, place);
    }

    /** What was known of an extent's holder proved wrong. */
    public void forget(long key) {
        Place<W> place = places.get(key);
        if (place != null) {
            place.cell = NOBODY;
            tidy(key, place);
        }
    }

    /** Lets somebody wait. */
    public void addWaiter(long key, W who, double now) {
        Place<W> place = places.computeIfAbsent(key, any -> new Place<>());
        place.waiting.add(new Waiting<>(who, now + MAX_WAIT_MILLIS));
        awaited.put(key, place);
    }

    /** Takes one out who waits; false if it did not. */
    public boolean removeWaiter(long key, W who) {
        Place<W> place = awaited.get(key);
        if (place == null || !place.waiting.removeIf(waiting -> waiting.who() == who)) {
            return false;
        }
        tidy(key, place);
        return true;
    }

    /** Takes out everybody who has waited long enough. */
    public List<W> takeExpired(double now) {
        List<W> due = new ArrayList<>(0);
        for (Iterator<Map.Entry<Long, Place<W>>> at = awaited.entrySet().iterator();
                at.hasNext(); ) {
            Place<W> place = at.next().getValue();
            place.waiting.removeIf(waiting -> waiting.until() <= now && due.add(waiting.who()));
            if (place.waiting.isEmpty()) {
                at.remove();
            }
        }
        return due;
    }

    /** When somebody will have waited long enough; infinity if nobody waits. */
    public double nextExpiry() {
        double next = Double.POSITIVE_INFINITY;
        for (Place<W> place : awaited.values()) {
            for (Waiting<W> waiting : place.waiting) {
                next = Math.min(next, waiting.until());
            }
        }
        return next;
    }

    private List<W> released(long key, Place<W> place) {
        if (place.waiting.isEmpty()) {
            tidy(key, place);
            return List.of();
        }
        List<W> all = new ArrayList<>(place.waiting.size());
        for (Waiting<W> waiting : place.waiting) {
            all.add(waiting.who());
        }
        place.waiting.clear();
        tidy(key, place);
        return all;
    }

    private void tidy(long key, Place<W> place) {
        if (place.waiting.isEmpty()) {
            awaited.remove(key);
            if (place.cell == NOBODY && place.claims <= 0) {
                places.remove(key);
            }
        }
    }
}
