package sagepulley.accounts;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;

/**
 * Sums over windows of time whose length grows with age: ten seconds for ten minutes, five minutes
 * for six hours, one hour for three days. Only windows with events are stored. Times are wall-clock
 * milliseconds; the number of a window is its start since the epoch divided by its length.
 */
final class Timeline<T extends Mergeable<T>> {
    /** Length of a window by level. */
    static final double[] WINDOW_MILLIS = {10_000, 300_000, 3_600_000};

    static final int LEVELS = WINDOW_MILLIS.length;

    /** Number of windows that a level spans, up to its newest. */
    private static final int[] MAX_AGE_WINDOWS = {60, 72, 72};

    private final Supplier<T> newWindow;
    private final TreeMap<Long, T>[] levels;

    /**
     * The finest window that was requested last, cached because the next request is usually for it.
     */
    private T latestWindow;

    private long latestWindowNumber;
    private int size;

    @SuppressWarnings({"unchecked", "rawtypes"})
    Timeline(Supplier<T> newWindow) {
        this.newWindow = newWindow;
        this.levels = new TreeMap[LEVELS];
        for (int i = 0; i < LEVELS; i++) {
            levels[i] = new TreeMap<>();
        }
    }

    static long windowNumber(int level, double wallMillis) {
        return (long) Math.floor(wallMillis / WINDOW_MILLIS[level]);
    }

    /**
     * Returns the finest window at a time and creates it if it is absent. Windows beyond the span
     * of their level are merged into coarser ones.
     */
    T windowAt(double wallMillis) {
        long number = windowNumber(0, wallMillis);
        if (latestWindow == null || latestWindowNumber != number) {
            latestWindow = windowAt(0, number);
            latestWindowNumber = number;
        }
        return latestWindow;
    }

    T windowAt(int level, long number) {
        Map.Entry<Long, T> last = levels[level].lastEntry();
        if (last != null && last.getKey() == number) {
            return last.getValue();
        }
        T window = levels[level].get(number);
        if (window == null) {
            window = getOrCreate(level, number);
            coarsenAged(level);
        }
        return window;
    }

    /** Returns a window of any age and creates it if it is absent, without merging others. */
    T getOrCreate(int level, long number) {
        T window = levels[level].get(number);
        if (window == null) {
            window = newWindow.get();
            levels[level].put(number, window);
            size++;
        }
        return window;
    }

    private void coarsenAged(int level) {
        TreeMap<Long, T> windows = levels[level];
        long newest = windows.lastKey();
        while (windows.firstKey() <= newest - MAX_AGE_WINDOWS[level]) {
            coarsenOldest(level);
        }
    }

    /**
     * Merges the oldest window of a level into the next coarser level that spans it; drops it if
     * there is none.
     */
    private void coarsenOldest(int level) {
        Map.Entry<Long, T> oldest = levels[level].pollFirstEntry();
        size--;
        latestWindow = null;
        if (oldest.getValue().isEmpty()) {
            return;
        }
        for (int coarserLevel = level + 1; coarserLevel < LEVELS; coarserLevel++) {
            long number = windowNumber(coarserLevel, oldest.getKey() * WINDOW_MILLIS[level]);
            if (levels[coarserLevel].isEmpty()
                    || number > levels[coarserLevel].lastKey() - MAX_AGE_WINDOWS[coarserLevel]) {
                windowAt(coarserLevel, number).add(oldest.getValue());
                return;
            }
        }
    }

    /**
     * Reduces the number of windows: merges those of the finest level into coarser ones, level by
     * level until there are fewer. Returns whether there are fewer.
     */
    boolean coarsen() {
        for (int level = 0; level + 1 < LEVELS; level++) {
            if (!levels[level].isEmpty() && size() > 1) {
                int before = size();
                while (!levels[level].isEmpty()) {
                    coarsenOldest(level);
                }
                if (size() < before) {
                    return true;
                }
            }
        }
        return false;
    }

    int size() {
        return size;
    }

    /** Returns the windows of a level by number, oldest first. Callers must not modify the map. */
    Map<Long, T> level(int level) {
        return levels[level];
    }

    /** Adds the windows that overlap a period to a sum. */
    void sum(T into, double from, double to) {
        for (int i = 0; i < LEVELS; i++) {
            for (Map.Entry<Long, T> entry :
                    levels[i]
                            .subMap(windowNumber(i, from), true, windowNumber(i, to), true)
                            .entrySet()) {
                into.add(entry.getValue());
            }
        }
    }

    /** Adds the windows of another timeline, each shifted by an offset in milliseconds. */
    void merge(Timeline<T> other, double offset) {
        for (int i = 0; i < LEVELS; i++) {
            for (Map.Entry<Long, T> entry : other.levels[i].entrySet()) {
                double middle = (entry.getKey() + 0.5) * WINDOW_MILLIS[i] + offset;
                getOrCreate(i, windowNumber(i, middle)).add(entry.getValue());
            }
        }
    }

    /** Shifts all windows back by whole hours if the newest starts after the given time. */
    void shiftBefore(double wallMillis) {
        double newest = Double.NEGATIVE_INFINITY;
        for (int i = 0; i < LEVELS; i++) {
            if (!levels[i].isEmpty()) {
                newest = Math.max(newest, levels[i].lastKey() * WINDOW_MILLIS[i]);
            }
        }
        if (newest <= wallMillis) {
            return;
        }
        latestWindow = null;
        long hours = (long) Math.ceil((newest - wallMillis) / WINDOW_MILLIS[LEVELS - 1]);
        for (int i = 0; i < LEVELS; i++) {
            long shift = (long) (hours * (WINDOW_MILLIS[LEVELS - 1] / WINDOW_MILLIS[i]));
            TreeMap<Long, T> shifted = new TreeMap<>();
            levels[i].forEach((number, window) -> shifted.put(number - shift, window));
            levels[i] = shifted;
        }
    }
}
