package sagepulley.model;

/**
 * The figures of the rules that every gateway of the service keeps. Times are milliseconds, shares
 * and ratios parts of 1. A rule that the deployment leaves out has an infinite or NaN figure.
 */
public record ServicePolicy(
        double answerGrace,
        double drainGrace,
        double slowStartShare,
        double slowStartTime,
        double overloadMultiple,
        double overloadWindow,
        double slowStartUnits,
        double keyIdleTime,
        double retryBudgetFloor,
        double retryBudgetRatio,
        double retryBudgetWindow,
        int maxAttempts,
        boolean hedgingAllowed) {

    /** Whether the deployment bounds retries by a budget. */
    public boolean hasRetryBudget() {
        return !Double.isNaN(retryBudgetWindow);
    }
}
