package sagepulley.accounts;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;

/**
 * Sums over stretches of time, coarser with age: ten seconds for ten minutes, five minutes for six
 * hours, an hour for three days. Only stretches in which something happened take room. Times are
 * wall-clock milliseconds.
 */
final class Timeline<T extends Mergeable<T>> {
    /** Milliseconds of a stretch, by level, and how many of them are kept. */
    static final double[] LENGTH = {10_000, 300_000, 3_600_000};

    private static final int[] KEPT = {60, 72, 72};
    static final int LEVELS = LENGTH.length;

    private final Supplier<T> fresh;
    private final TreeMap<Long, T>[] levels;

    /** The finest stretch that was asked for last: nearly always the one that is asked for next. */
    private T latest;

    private long latestNumber;
    private int size;

    @SuppressWarnings({"unchecked", "rawtypes"})
    Timeline(Supplier<T> fresh) {
        this.fresh = fresh;
        this.levels = new TreeMap[LEVELS];
        for (int i = 0; i < LEVELS; i++) {
            levels[i] = new TreeMap<>();
        }
    }

    static long number(int level, double wall) {
        return (long) Math.floor(wall / LENGTH[level]);
    }

    /**
     * The finest stretch of a time, made if need be; what has become too old for its level goes up.
     */
    T at(double wall) {
        long number = number(0, wall);
        if (latest == null || latestNumber != number) {
            latest = at(0, number);
            latestNumber = number;
        }
        return latest;
    }

    T at(int level, long number) {
        Map.Entry<Long, T> last = levels[level].lastEntry();
        if (last != null && last.getKey() == number) {
            return last.getValue();
        }
        T found = levels[level].get(number);
        if (found == null) {
            found = put(level, number);
            age(level);
        }
        return found;
    }

    /** A stretch of any age, as it was kept. */
    T put(int level, long number) {
        T there = levels[level].get(number);
        if (there == null) {
            there = fresh.get();
            levels[level].put(number, there);
            size++;
        }
        return there;
    }

    private void age(int level) {
        TreeMap<Long, T> stretches = levels[level];
        long newest = stretches.lastKey();
        while (stretches.firstKey() <= newest - KEPT[level]) {
            lift(level);
        }
    }

    /** The oldest of a level goes into the level above, or is forgotten. */
    private void lift(int level) {
        Map.Entry<Long, T> oldest = levels[level].pollFirstEntry();
        size--;
        latest = null;
        if (oldest.getValue().empty()) {
            return;
        }
        for (int up = level + 1; up < LEVELS; up++) {
            long number = number(up, oldest.getKey() * LENGTH[level]);
            if (levels[up].isEmpty() || number > levels[up].lastKey() - KEPT[up]) {
                at(up, number).add(oldest.getValue());
                return;
            }
        }
    }

    /** Gives up detail for room: all of the finest level that has several goes up. */
    boolean squeeze() {
        for (int level = 0; level + 1 < LEVELS; level++) {
            if (!levels[level].isEmpty() && size() > 1) {
                int before = size();
                while (!levels[level].isEmpty()) {
                    lift(level);
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

    /** The stretches of a level, by number, oldest first; not to be changed. */
    Map<Long, T> level(int level) {
        return levels[level];
    }

    /** Adds what overlaps a time to a sum. */
    void sum(T into, double from, double to) {
        for (int i = 0; i < LEVELS; i++) {
            for (Map.Entry<Long, T> entry :
                    levels[i].subMap(number(i, from), true, number(i, to), true).entrySet()) {
                into.add(entry.getValue());
            }
        }
    }

    /** Adds another's stretches, each moved by so many milliseconds. */
    void merge(Timeline<T> other, double offset) {
        for (int i = 0; i < LEVELS; i++) {
            for (Map.Entry<Long, T> entry : other.levels[i].entrySet()) {
                double middle = (entry.getKey() + 0.5) * LENGTH[i] + offset;
                put(i, number(i, middle)).add(entry.getValue());
            }
        }
    }

    /** Moves every stretch by a whole number of the longest, if the newest lies after a time. */
    void noLaterThan(double wall) {
        double newest = Double.NEGATIVE_INFINITY;
        for (int i = 0; i < LEVELS; i++) {
            if (!levels[i].isEmpty()) {
                newest = Math.max(newest, levels[i].lastKey() * LENGTH[i]);
            }
        }
        if (newest <= wall) {
            return;
        }
        latest = null;
        long hours = (long) Math.ceil((newest - wall) / LENGTH[LEVELS - 1]);
        for (int i = 0; i < LEVELS; i++) {
            long by = (long) (hours * (LENGTH[LEVELS - 1] / LENGTH[i]));
            TreeMap<Long, T> moved = new TreeMap<>();
            levels[i].forEach((number, sums) -> moved.put(number - by, sums));
            levels[i] = moved;
        }
    }
}
