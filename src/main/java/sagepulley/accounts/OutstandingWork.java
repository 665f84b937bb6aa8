package sagepulley.accounts;

import sagepulley.model.QuotaTier;

/**
 * Units of attempts in flight at a node, by volume and quota tier, in a table of bounded size.
 * Other operations wait behind them.
 */
final class OutstandingWork {
    static final int MAX_KEYS = 48;

    private static final QuotaTier[] QUOTA_TIERS = QuotaTier.values();
    private static final int TIER_BITS = 2;
    private static final int TIER_MASK = (1 << TIER_BITS) - 1;

    /** Smaller values are rounding errors of a sum that returned to zero. */
    private static final double MIN_UNITS = 1e-6;

    private final long[] keys = new long[MAX_KEYS];
    private final double[] units = new double[MAX_KEYS];
    private int size;

    static long key(long volume, QuotaTier quotaTier) {
        return volume << TIER_BITS | quotaTier.ordinal();
    }

    int size() {
        return size;
    }

    long volume(int index) {
        return keys[index] >> TIER_BITS;
    }

    QuotaTier quotaTier(int index) {
        return QUOTA_TIERS[(int) (keys[index] & TIER_MASK)];
    }

    double units(int index) {
        return units[index];
    }

    double sum() {
        double sum = 0;
        for (int i = 0; i < size; i++) {
            sum += units[i];
        }
        return sum;
    }

    /**
     * Adds units, or removes them if the amount is negative. Keys with more units move to the
     * front; volumes that do not fit into the table count as volume 0.
     *
     * @return the key under which the units were counted and must be removed
     */
    long add(long key, double amount) {
        int index = 0;
        while (index < size && keys[index] != key) {
            index++;
        }
        if (index == size) {
            if (size >= MAX_KEYS - QUOTA_TIERS.length && key >> TIER_BITS != 0) {
                return add(key & TIER_MASK, amount);
            }
            keys[size] = key;
            units[size++] = 0;
        }
        units[index] += amount;
        if (units[index] < MIN_UNITS) {
            size--;
            keys[index] = keys[size];
            units[index] = units[size];
        } else if (index > 0 && units[index] > units[index - 1]) {
            swapWithPrevious(index);
        }
        return key;
    }

    private void swapWithPrevious(int index) {
        long key = keys[index];
        double amount = units[index];
        keys[index] = keys[index - 1];
        units[index] = units[index - 1];
        keys[index - 1] = key;
        units[index - 1] = amount;
    }

    void copyFrom(OutstandingWork other) {
        size = other.size;
        System.arraycopy(other.keys, 0, keys, 0, size);
        System.arraycopy(other.units, 0, units, 0, size);
    }
}
