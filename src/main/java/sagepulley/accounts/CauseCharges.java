package sagepulley.accounts;

import java.util.Arrays;
import java.util.function.LongUnaryOperator;

/**
 * Waiting time in milliseconds and lost priority weight by cause, in a table of bounded size. When
 * the table is full, the smallest charges are merged, first across nodes and then across volumes.
 * Each wait has a lower and an upper bound, which differ from it if it is estimated.
 */
final class CauseCharges {
    private static final int INITIAL_CAPACITY = 6;

    /** Sums per key: wait, its lower bound, its upper bound, lost weight. */
    static final int SUMS = 4;

    /**
     * Reciprocal of the fraction of charges that a merge keeps separate and of the fraction of the
     * table that it aims to free.
     */
    private static final int KEPT_DIVISOR = 4;

    private final int maxSize;
    private long[] keys = new long[INITIAL_CAPACITY];
    private double[] sums = new double[SUMS * INITIAL_CAPACITY];
    private int size;
    private boolean hasMerged;

    CauseCharges(int maxSize) {
        this.maxSize = maxSize;
    }

    int size() {
        return size;
    }

    long key(int index) {
        return keys[index];
    }

    double waited(int index) {
        return sums[SUMS * index];
    }

    double lowerBound(int index) {
        return sums[SUMS * index + 1];
    }

    double upperBound(int index) {
        return sums[SUMS * index + 2];
    }

    double lostWeight(int index) {
        return sums[SUMS * index + 3];
    }

    void clear() {
        size = 0;
        hasMerged = false;
    }

    /** Adds an observed wait in milliseconds. */
    void add(long key, double waited) {
        add(key, waited, waited, waited, 0);
    }

    void add(long key, double waited, double lowerBound, double upperBound, double lostWeight) {
        int index = find(key);
        if (index < 0 && hasMerged) {
            index = find(Cause.withoutNode(key)); // merged charges are not split again
        }
        if (index < 0) {
            index = append(key);
        }
        sums[SUMS * index] += waited;
        sums[SUMS * index + 1] += lowerBound;
        sums[SUMS * index + 2] += upperBound;
        sums[SUMS * index + 3] += lostWeight;
    }

    private int append(long key) {
        if (size == maxSize) {
            mergeSmallest();
        }
        if (size == keys.length) {
            int length = Math.min(maxSize, 2 * size);
            keys = Arrays.copyOf(keys, length);
            sums = Arrays.copyOf(sums, SUMS * length);
        }
        int index = size++;
        keys[index] = key;
        Arrays.fill(sums, SUMS * index, SUMS * index + SUMS, 0);
        return index;
    }

    void addAll(CauseCharges other) {
        for (int i = 0; i < other.size; i++) {
            add(
                    other.keys[i],
                    other.waited(i),
                    other.lowerBound(i),
                    other.upperBound(i),
                    other.lostWeight(i));
        }
    }

    /**
     * Adds the charges of another table and divides a lost weight among them in proportion to their
     * waits.
     */
    void addAll(CauseCharges other, double lostWeight) {
        double total = other.totalWaited();
        for (int i = 0; i < other.size; i++) {
            double waited = other.waited(i);
            add(
                    other.keys[i],
                    waited,
                    other.lowerBound(i),
                    other.upperBound(i),
                    other.shareOf(lostWeight, i, total));
        }
    }

    double totalWaited() {
        double total = 0;
        for (int i = 0; i < size; i++) {
            total += waited(i);
        }
        return total;
    }

    /** Returns a charge's share of a lost weight, in proportion to its wait. */
    double shareOf(double lostWeight, int index, double totalWaited) {
        return totalWaited > 0 ? lostWeight * waited(index) / totalWaited : lostWeight / size;
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
     * Frees several entries at once: merges all but the largest charges across nodes, then across
     * volumes if that is not enough, and finally the largest ones too. The table has room for every
     * kind, observed and estimated.
     */
    private void mergeSmallest() {
        int targetSize = maxSize - maxSize / KEPT_DIVISOR;
        hasMerged = false;
        mergeKeys(Cause::withoutNode, size / KEPT_DIVISOR);
        if (size > targetSize) {
            mergeKeys(Cause::withoutNodeAndVolume, size / KEPT_DIVISOR);
        }
        if (size > targetSize) {
            mergeKeys(Cause::withoutNodeAndVolume, 0);
        }
        hasMerged = true;
    }

    private void mergeKeys(LongUnaryOperator mergedKey, int keptCount) {
        long[] oldKeys = Arrays.copyOf(keys, size);
        double[] oldSums = Arrays.copyOf(sums, SUMS * size);
        double threshold = keptCount == 0 ? Double.POSITIVE_INFINITY : nthLargestWait(keptCount);
        int keptLeft = keptCount;
        size = 0;
        for (int i = 0; i < oldKeys.length; i++) {
            boolean isKept = oldSums[SUMS * i] >= threshold && keptLeft-- > 0;
            add(
                    isKept ? oldKeys[i] : mergedKey.applyAsLong(oldKeys[i]),
                    oldSums[SUMS * i],
                    oldSums[SUMS * i + 1],
                    oldSums[SUMS * i + 2],
                    oldSums[SUMS * i + 3]);
        }
    }

    /** Returns the smallest of the given number of largest waits. */
    private double nthLargestWait(int count) {
        double[] ranked = new double[size];
        for (int i = 0; i < size; i++) {
            ranked[i] = waited(i);
        }
        Arrays.sort(ranked);
        return ranked[size - count];
    }
}
