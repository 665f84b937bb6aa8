package sagepulley.scenario;

import java.util.ArrayList;
import java.util.List;

/** Collects the breaches of one rule. Counts all of them and describes the first few. */
final class Findings {
    private static final int MAX_DESCRIBED = 5;

    private final List<String> breaches = new ArrayList<>();
    private int count;

    void addBreach(String description) {
        count++;
        if (breaches.size() < MAX_DESCRIBED) {
            breaches.add(description);
        }
    }

    RuleVerdict verdict(String rule, String figure, String bound) {
        return new RuleVerdict(rule, count == 0, figure, bound, breaches);
    }

    /** Formats a figure with one decimal. Infinity, which means no measurement, becomes "all". */
    static String format(double value) {
        return value == Double.POSITIVE_INFINITY
                ? "all"
                : String.valueOf(Math.round(value * 10) / 10.0);
    }
}
