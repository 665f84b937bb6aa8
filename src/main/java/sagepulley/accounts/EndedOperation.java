package sagepulley.accounts;

/**
 * An operation that ended, with the values that are added to the sums.
 *
 * @param tier the plan tier in which it was served or held
 * @param metObjective whether it was served within its latency objective
 * @param lostWeight the priority weight lost because it was not
 * @param duration milliseconds from arrival to the end
 */
record EndedOperation(
        OperationTimer timer,
        Accounts.End end,
        PlanTier tier,
        boolean metObjective,
        double lostWeight,
        double duration) {}
