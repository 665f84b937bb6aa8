package sagepulley.model;

/**
 * The parameters of the rules that all gateways of the service follow. Times are milliseconds;
 * shares and ratios are fractions of 1. A rule that the deployment does not use has an infinite or
 * NaN parameter.
 *
 * @param answerGrace the time after its deadline in which an operation's answer is still in time
 * @param drainGrace the time for which an endpoint may be used after it was notified as draining
 * @param slowStartShare the fraction of its capacity that an endpoint has at its start
 * @param slowStartTime the duration of slow start
 * @param overloadMultiple the multiple of its current capacity above which an endpoint is
 *     overloaded
 * @param overloadWindow the window over which that load is measured
 * @param slowStartUnits the units in a window that never overload an endpoint in slow start
 * @param keyIdleTime the time for which a key stays idle after an attempt whose effect is unknown
 * @param retryBudgetFloor the number of retries allowed in a window regardless of arrivals
 * @param retryBudgetRatio the number of retries allowed per operation that arrives in a window
 * @param retryBudgetWindow the window of the retry budget
 * @param maxAttempts the maximum number of attempts of an operation, including the first
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

    /** Returns whether the deployment limits retries by a budget. */
    public boolean hasRetryBudget() {
        return !Double.isNaN(retryBudgetWindow);
    }
}
