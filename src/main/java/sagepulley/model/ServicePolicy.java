package sagepulley.model;

/**
 * The figures of the seven rules. A rule that the deployment leaves out has an infinite or NaN
 * figure.
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

    /** Whether further attempts are rationed here. */
    public boolean hasRetryBudget() {
        return !Double.isNaN(retryBudgetWindow);
    }
}
