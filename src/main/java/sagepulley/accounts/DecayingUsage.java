package sagepulley.accounts;

import java.util.Arrays;

/**
 * Units of the last seconds by volume, fading, in a table of bounded size; who has least gives way.
 */
final class DecayingUsage {
    private static final int MOST = 16;
    private static final double FADES = 1_500;
    private final long[] volumes = new long[MOST];
    private final double[] units = new double[MOST];
    private int size;
    private double at;

    void add(long volume, double amount, double now) {
        fade(now);
        int place = 0;
        while (place < size && volumes[place] != volume) {
            place++;
        }
        if (place == size) {
            if (size == MOST) {
                place = 0;
                for (int i = 1; i < size; i++) {
                    place = units[i] < units[place] ? i : place;
                }
            } else {
                size++;
            }
            volumes[place] = volume;
            units[place] = 0;
        }
        units[place] += amount;
    }

    void fade(double now) {
        if (now - at < 10) {
            return;
        }
        double left = Math.exp(-(now - at) / FADES);
        for (int i = 0; i < size; i++) {
            units[i] *= left;
        }
        at = now;
    }

    int size() {
        return size;
    }

    long volume(int place) {
        return volumes[place];
    }

    double units(int place) {
        return units[place];
    }

    double sum() {
        return Arrays.stream(units, 0, size).sum();
    }
}
