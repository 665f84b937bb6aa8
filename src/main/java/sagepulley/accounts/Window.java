package sagepulley.accounts;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;

/** Sums of one volume over one stretch of time. What causes few waits is folded together. */
final class Window {
    private static final int MOST_CAUSES = 24;
    private static final Cause REST = new Cause(Cause.Kind.NEIGHBOUR, 0, true);

    long number = Long.MIN_VALUE;
    final double[] parts = new double[Spent.values().length];
    /** Milliseconds by cause, each in a cell of its own, summed in place. */
    final Map<Cause, double[]> causes = new HashMap<>();
    long operations;
    long met;
    long late;
    long declined;
    long scrapped;
    long left;
    double units;
    double utilityLost;

    void clear(long fresh) {
        number = fresh;
        java.util.Arrays.fill(parts, 0);
        causes.clear();
        operations = 0;
        met = 0;
        late = 0;
        declined = 0;
        scrapped = 0;
        left = 0;
        units = 0;
        utilityLost = 0;
    }

    void charge(Cause cause, double time) {
        double[] sum = causes.get(cause);
        if (sum != null) {
            sum[0] += time;
            return;
        }
        causes.put(cause, new double[] {time});
        if (causes.size() > MOST_CAUSES) {
            Cause least = causes.entrySet().stream().filter(entry -> !entry.getKey().equals(REST))
                    .min(Comparator.comparingDouble(entry -> entry.getValue()[0])).orElseThrow().getKey();
            causes.computeIfAbsent(REST, any -> new double[1])[0] += causes.remove(least)[0];
        }
    }

    void add(Window other) {
        for (int i = 0; i < parts.length; i++) {
            parts[i] += other.parts[i];
        }
        other.causes.forEach((cause, time) -> charge(cause, time[0]));
        operations += other.operations;
        met += other.met;
        late += other.late;
        declined += other.declined;
        scrapped += other.scrapped;
        left += other.left;
        units += other.units;
        utilityLost += other.utilityLost;
    }
}
