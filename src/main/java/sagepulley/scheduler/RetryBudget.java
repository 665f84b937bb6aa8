package sagepulley.scheduler;

import sagepulley.model.ServicePolicy;
import sagepulley.model.SlidingWindowCounter;

/**
 * Limits retries to a floor plus a ratio of the operations that arrived within a sliding window,
 * like the retry budgets of Finagle and Envoy. Partial buckets at the edge of the window are
 * counted against the retry.
 */
final class RetryBudget {
    private static final int WINDOW_BUCKETS = 50;

    private final ServicePolicy policy;
    private final SlidingWindowCounter arrivals;
    private final SlidingWindowCounter retries;

    RetryBudget(ServicePolicy policy) {
        this.policy = policy;
        double window = policy.hasRetryBudget() ? policy.retryBudgetWindow() : 1;
        this.arrivals = new SlidingWindowCounter(window, WINDOW_BUCKETS);
        this.retries = new SlidingWindowCounter(window, WINDOW_BUCKETS);
    }

    /** Counts an operation that arrives. */
    void onArrival(double now) {
        arrivals.add(now, 1);
    }

    /** Counts a retry that is sent. */
    void onRetry(double now) {
        retries.add(now, 1);
    }

    /**
     * Returns whether one more retry is within the budget; always true if the deployment has none.
     */
    boolean allowsRetry(double now) {
        return !policy.hasRetryBudget()
                || !(retries.sumOverestimate(now) + 1
                        > policy.retryBudgetFloor()
                                + policy.retryBudgetRatio() * arrivals.sumUnderestimate(now));
    }
}
