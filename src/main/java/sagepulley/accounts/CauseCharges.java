package sagepulley.accounts;

import java.util.Arrays;
import java.util.function.LongUnaryOperator;

/**
 * Milliseconds of waiting and utility lost, by cause, in a table of bounded size; what is smallest
 * is folded together when it is full, first over nodes and then over volumes. Of a wait that is
 * reckoned, the least and the most that it can have been are kept.
 */
final class CauseCharges {
    private static final int FIRST = 6;

    /** One in so many causes stays whole when others are folded. */
    private static final int KEPT_WHOLE = 4;

    private final int most;
    private long[] keys = new long[FIRST];

    /** Waited, its least, its most, utility lost: four to a key. */
    private double[] sums = new double[4 * FIRST];

    private int size;
    private boolean folded;

    CauseCharges(int most) {
        this.most = most;
    }

    int size() {
        return size;
    }

    long key(int at) {
        return keys[at];
    }

    double waited(int at) {
        return sums[4 * at];
    }

    double least(int at) {
        return sums[4 * at + 1];
    }

    double most(int at) {
        return sums[4 * at + 2];
    }

    double lost(int at) {
        return sums[4 * at + 3];
    }

    void clear() {
        size = 0;
        folded = false;
    }

    /** Milliseconds charged to a cause that was seen. */
    void add(long key, double waited) {
        add(key, waited, waited, waited, 0);
    }

    void add(long key, double waited, double least, double top, double lost) {
        int at = find(key);
        if (at < 0 && folded) {
            at = find(Cause.anywhere(key)); // what was folded over nodes goes on so
        }
        if (at < 0) {
            if (size == most) {
                fold();
            }
            if (size == keys.length) {
                int length = Math.min(most, 2 * size);
                keys = Arrays.copyOf(keys, length);
                sums = Arrays.copyOf(sums, 4 * length);
            }
            at = size++;
            keys[at] = key;
            Arrays.fill(sums, 4 * at, 4 * at + 4, 0);
        }
        sums[4 * at] += waited;
        sums[4 * at + 1] += least;
        sums[4 * at + 2] += top;
        sums[4 * at + 3] += lost;
    }

    void addAll(CauseCharges other) {
        for (int i = 0; i < other.size; i++) {
            add(other.keys[i], other.waited(i), other.least(i), other.most(i), other.lost(i));
        }
    }

    private int find(long key) {
        for (int i = 0; i < size; i++) {
            if (keys[i] == key) {
                return i;
            }
        }
        return -1;
    }

    /**
     * Makes room for many at once: all but the largest go to the same cause anywhere, if that is
     * not enough to anybody's, and at last the largest too: a table holds all kinds, seen and
     * reckoned.
     */
    private void fold() {
        int enough = most - most / KEPT_WHOLE;
        folded = false;
        widen(Cause::anywhere, size / KEPT_WHOLE);
        if (size > enough) {
            widen(Cause::anybody, size / KEPT_WHOLE);
        }
        if (size > enough) {
            widen(Cause::anybody, 0);
        }
        folded = true;
    }

    private void widen(LongUnaryOperator wider, int whole) {
        long[] before = Arrays.copyOf(keys, size);
        double[] figures = Arrays.copyOf(sums, 4 * size);
        double[] ranked = new double[size];
        for (int i = 0; i < size; i++) {
            ranked[i] = figures[4 * i];
        }
        Arrays.sort(ranked);
        double least = whole == 0 ? Double.POSITIVE_INFINITY : ranked[size - whole];
        int left = whole;
        size = 0;
        for (int i = 0; i < before.length; i++) {
            boolean stays = figures[4 * i] >= least && left-- > 0;
            add(
                    stays ? before[i] : wider.applyAsLong(before[i]),
                    figures[4 * i],
                    figures[4 * i + 1],
                    figures[4 * i + 2],
                    figures[4 * i + 3]);
        }
    }
}
