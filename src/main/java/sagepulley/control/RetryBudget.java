package sagepulley.control;

import sagepulley.model.Ring;
import sagepulley.model.Rulebook;

/**
 * The budget of further attempts: over a window, a fixed number and a share of the operations
 * taken. Counted against ourselves where a bucket of the window is cut. Times are milliseconds.
 */
final class RetryBudget {
    private static final int BUCKETS = 50;

    private final Rulebook rules;
    private final Ring operations;
    private final Ring retries;

    RetryBudget(Rulebook rules) {
        this.rules = rules;
        double window = rules.hasBudget() ? rules.budgetWindow() : 1;
        this.operations = new Ring(window, BUCKETS);
        this.retries = new Ring(window, BUCKETS);
    }

    void operationTaken(double now) {
        operations.add(now, 1);
    }

    void retried(double now) {
        retries.add(now, 1);
    }

    boolean allowsRetry(double now) {
        return !rules.hasBudget()
                || retries.sumOver(now) + 1
                        <= rules.budgetFree() + rules.budgetShare() * operations.sumWithin(now);
    }
}
