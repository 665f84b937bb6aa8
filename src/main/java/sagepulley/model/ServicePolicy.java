package sagepulley.model;

/**
 * The figures of the seven rules. A rule that the deployment leaves out has an infinite or NaN
 * figure.
 */
public record ServicePolicy(
        double answerGrace,
        double drainGrace,
        double coldShare,
        double coldTime,
        double fallMultiple,
        double fallTime,
        double coldUnits,
        double keyRest,
        double budgetFree,
        double budgetShare,
        double budgetWindow,
        int mostAttempts,
        boolean secondCopies) {

    /** Whether further attempts are rationed here. */
    public boolean hasBudget() {
        return !Double.isNaN(budgetWindow);
    }
}
