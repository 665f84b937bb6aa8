package sagepulley.accounts;

import sagepulley.model.QuotaTier;

/**
 * The units of attempts that are out at a node, by volume and by part of the plan: what others wait
 * behind.
 */
final class OutstandingWork {
    private static final QuotaTier[] OWED = QuotaTier.values();
    static final int MOST = 48;

    private final long[] keys = new long[MOST];
    private final double[] units = new double[MOST];
    private int size;

    static long key(long volume, QuotaTier quotaTier) {
        return volume << 2 | quotaTier.ordinal();
    }

    int size() {
        return size;
    }

    long volume(int at) {
        return keys[at] >> 2;
    }

    QuotaTier owed(int at) {
        return OWED[(int) (keys[at] & 3)];
    }

    double units(int at) {
        return units[at];
    }

    double sum() {
        double sum = 0;
        for (int i = 0; i < size; i++) {
            sum += units[i];
        }
        return sum;
    }

    /**
     * More units, or less; whoever has most drifts to the front. What does not fit counts as
     * nobody's, number 0. Returns the key it was counted under, by which it is to be taken off
     * again.
     */
    long add(long key, double amount) {
        int at = 0;
        while (at < size && keys[at] != key) {
            at++;
        }
        if (at == size) {
            if (size >= MOST - OWED.length && key >> 2 != 0) {
                return add(key & 3, amount);
            }
            keys[size] = key;
            units[size++] = 0;
        }
        units[at] += amount;
        if (units[at] < 1e-6) {
            size--;
            keys[at] = keys[size];
            units[at] = units[size];
        } else if (at > 0 && units[at] > units[at - 1]) {
            long other = keys[at - 1];
            double less = units[at - 1];
            keys[at - 1] = key;
            units[at - 1] = units[at];
            keys[at] = other;
            units[at] = less;
        }
        return key;
    }

    void copy(OutstandingWork other) {
        size = other.size;
        System.arraycopy(other.keys, 0, keys, 0, size);
        System.arraycopy(other.units, 0, units, 0, size);
    }
}
