package sagepulley.accounts;

import java.util.Arrays;
import java.util.function.LongUnaryOperator;

/**
 * Milliseconds of waiting and priority weight lost, by cause, in a table of bounded size; when it
 * is full the smallest are merged, first over nodes and then over volumes. Of a wait that is
 * estimated the bounds are summed too.
 */
final class CauseCharges {
    private static final int INITIAL_CAPACITY = 6;

    /** Sums to a key: waited, its lower bound, its upper bound, weight lost. */
    static final int SUMS = 4;

    /** One in so many causes is left as it is when others are merged. */
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

    /** Milliseconds charged to a cause that was observed. */
    void add(long key, double waited) {
        add(key, waited, waited, waited, 0);
    }

    void add(long key, double waited, double lowerBound, double upperBound, double lostWeight) {
        int index = find(key);
        if (index < 0 && hasMerged) {
            index = find(Cause.withoutNode(key)); // what was merged over nodes stays so
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

    /** Adds another's with a weight lost, shared among its causes by what was waited for each. */
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

    /** A cause's share of a weight lost, by what was waited for it. */
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
     * Makes room for many at once: all but the largest go to the same cause at any node, if that is
     * not enough to that of any volume, and at last the largest too: a table holds all kinds,
     * observed and estimated.
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

    /** The least of so many of the largest waits. */
    private double nthLargestWait(int count) {
        double[] ranked = new double[size];
        for (int i = 0; i < size; i++) {
            ranked[i] = waited(i);
        }
        Arrays.sort(ranked);
        return ranked[size - count];
    }
}
