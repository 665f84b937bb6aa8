package sagepulley.control;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import sagepulley.model.Rulebook;

/** How many further attempts the budget allows. */
class RetryBudgetTest {
    private static final double WINDOW = 1_000;

    private static RetryBudget budget(double free, double share, double window) {
        return new RetryBudget(new Rulebook(0, 0, 0, 0, 1, 1, 0, 0, free, share, window, 3, false));
    }

    @Test
    void aFixedNumberIsFreeAndAShareOfTheOperationsComesOnTop() {
        RetryBudget budget = budget(2, 0.1, WINDOW);
        for (int i = 0; i < 10; i++) {
            budget.operationTaken(0);
        }
        for (int i = 0; i < 3; i++) {
            assertTrue(budget.allowsRetry(1), "retry " + i);
            budget.retried(1);
        }
        assertFalse(budget.allowsRetry(1));
    }

    @Test
    void whatIsOlderThanTheWindowCountsNoMore() {
        RetryBudget budget = budget(1, 0, WINDOW);
        budget.retried(0);
        assertFalse(budget.allowsRetry(WINDOW));
        assertTrue(budget.allowsRetry(2 * WINDOW));
    }

    @Test
    void withoutABudgetEveryRetryIsAllowed() {
        RetryBudget none = budget(Double.NaN, Double.NaN, Double.NaN);
        for (int i = 0; i < 100; i++) {
            none.retried(0);
        }
        assertTrue(none.allowsRetry(0));
    }
}
