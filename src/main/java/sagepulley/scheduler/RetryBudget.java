package sagepulley.scheduler;

import sagepulley.model.ServicePolicy;
import sagepulley.model.SlidingWindowCounter;

/**
 * Bounds retries to a floor plus a ratio of the operations that arrived within a sliding window, as
 * the retry budget of Finagle and Envoy does. Where a window cuts a bucket, the count goes against
 * the retry.
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

    /** Counts an operation that has arrived. */
    void onArrival(double now) {
        arrivals.add(now, 1);
    }

    /** Counts a retry that is sent. */
    void onRetry(double now) {
        retries.add(now, 1);
    }

    /** Whether one more retry stays inside the budget; always where the deployment has none. */
    boolean allowsRetry(double now) {
        return !policy.hasRetryBudget()
                || !(retries.sumOverestimate(now) + 1
                        > policy.retryBudgetFloor()
                                + policy.retryBudgetRatio() * arrivals.sumUnderestimate(now));
    }
}
