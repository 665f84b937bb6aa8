package sagepulley.accounts;

/**
 * How an operation ended, for the sums that it is booked into.
 *
 * @param tier by which it was served, or held
 * @param metObjective whether it was served within its latency objective
 * @param lostWeight priority weight that was lost because it was not
 * @param duration milliseconds from arrival to final answer
 */
record EndedOperation(
        OperationTimer timer,
        Accounts.End end,
        PlanTier tier,
        boolean metObjective,
        double lostWeight,
        double duration) {}
