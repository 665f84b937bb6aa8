package sagepulley.accounts;

import java.util.Arrays;

/**
 * Milliseconds of waiting and utility lost, by cause, in a table of bounded size; what is smallest is folded
 * together when it is full, first over nodes and then over volumes. Of a wait that is reckoned, the least and
 * the most that it can have been are kept.
 */
final class Charges {
    private static final int FIRST = 4;
    private final int most;
    private long[] keys = new long[FIRST];
    /** Waited, its least, its most, utility lost: four to a key. */
    private double[] sums = new double[4 * FIRST];
    private int size;

    Charges(int most) {
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
    }

    /** Milliseconds charged to a cause that was seen. */
    void add(long key, double waited) {
        add(key, waited, waited, waited, 0);
    }

    void add(long key, double waited, double least, double top, double lost) {
        int at = find(key);
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

    void addAll(Charges other) {
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

    /** Makes room: the smallest goes to the same cause anywhere, or to anybody's, until two have met. */
    private void fold() {
        while (true) {
            int least = -1;
            for (int i = 0; i < size; i++) {
                if (Cause.anybody(keys[i]) != keys[i] && (least < 0 || waited(i) < waited(least))) {
                    least = i;
                }
            }
            if (least < 0) {
                throw new IllegalStateException("a table of " + most + " causes is too small for all kinds");
            }
            long wider = Cause.anywhere(keys[least]);
            long into = wider != keys[least] ? wider : Cause.anybody(wider);
            int target = find(into);
            keys[least] = into;
            if (target >= 0) {
                for (int i = 0; i < 4; i++) {
                    sums[4 * target + i] += sums[4 * least + i];
                }
                size--;
                keys[least] = keys[size];
                System.arraycopy(sums, 4 * size, sums, 4 * least, 4);
                return;
            }
        }
    }
}
