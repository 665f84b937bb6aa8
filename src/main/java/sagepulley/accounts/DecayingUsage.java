package sagepulley.accounts;

import java.util.Arrays;

/**
 * Recent units by volume with exponential decay, in a table of bounded size that evicts the volume
 * with the fewest units. Times are milliseconds.
 */
final class DecayingUsage {
    private static final int MAX_VOLUMES = 16;
    private static final double TIME_CONSTANT_MILLIS = 1_500;

    /** The decay is computed at most once per interval. */
    private static final double MIN_DECAY_INTERVAL_MILLIS = 10;

    private final long[] volumes = new long[MAX_VOLUMES];
    private final double[] units = new double[MAX_VOLUMES];
    private int size;
    private double decayedAt;

    void add(long volume, double amount, double now) {
        decay(now);
        int index = 0;
        while (index < size && volumes[index] != volume) {
            index++;
        }
        if (index == size) {
            index = size < MAX_VOLUMES ? size++ : indexOfSmallest();
            volumes[index] = volume;
            units[index] = 0;
        }
        units[index] += amount;
    }

    private int indexOfSmallest() {
        int smallest = 0;
        for (int i = 1; i < size; i++) {
            smallest = units[i] < units[smallest] ? i : smallest;
        }
        return smallest;
    }

    void decay(double now) {
        if (now - decayedAt < MIN_DECAY_INTERVAL_MILLIS) {
            return;
        }
        double factor = StrictMath.exp(-(now - decayedAt) / TIME_CONSTANT_MILLIS);
        for (int i = 0; i < size; i++) {
            units[i] *= factor;
        }
        decayedAt = now;
    }

    int size() {
        return size;
    }

    long volume(int index) {
        return volumes[index];
    }

    double units(int index) {
        return units[index];
    }

    double sum() {
        return Arrays.stream(units, 0, size).sum();
    }
}
