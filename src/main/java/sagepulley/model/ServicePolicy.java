package sagepulley.model;

/**
 * The figures of the rules that every gateway of the service keeps. Times are milliseconds, shares
 * and ratios parts of 1. A rule that the deployment leaves out has an infinite or NaN figure.
 *
 * @param answerGrace how long after its deadline an operation's answer is still in time
 * @param drainGrace how long an endpoint may still be used after it was notified as draining
 * @param slowStartShare the part of its capacity that an endpoint has at its start
 * @param slowStartTime how long an endpoint warms up
 * @param overloadMultiple the multiple of its capacity that overloads an endpoint
 * @param overloadWindow the window over which that is measured
 * @param slowStartUnits the units beyond it that an endpoint in slow start always bears
 * @param keyIdleTime how long a key stays idle after an attempt whose effect is unknown
 * @param retryBudgetFloor the retries that are allowed in a window whatever arrives
 * @param retryBudgetRatio the retries for each operation that arrives in a window
 * @param retryBudgetWindow the window of the retry budget
 * @param maxAttempts the attempts of one operation, the first included
 * @param hedgingAllowed whether an operation may have two attempts in flight
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
