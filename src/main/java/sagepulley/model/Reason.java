package sagepulley.model;

/** The reason why an operation waits or ended without being served. */
public enum Reason implements ExternalName {
    /** It does not wait. */
    NONE("none"),
    /** The concurrency limit of its node is reached; its units are inside the reservation. */
    RESERVATION_FULL("reserve_full"),
    /**
     * The concurrency limit of its node is reached; its units are inside the share. Also the reason
     * of a waiting new object, which has no node yet.
     */
    SHARE_FULL("share_full"),
    /** The concurrency limit of its node is reached; its units are in excess of the share. */
    EXCESS_FULL("beyond_share"),
    /** The queue estimate of its node is too high for it. */
    QUEUE_AT_NODE("held_back"),
    /** Its node is in slow start. */
    WARMING_UP("cold"),
    /** Its node is unresponsive. */
    UNRESPONSIVE("silent"),
    /** Its node is draining or removed. */
    NOT_READY("not_ready"),
    /** No listed node holds its cell. */
    NO_NODE("no_node"),
    /** The lease on the endpoint list does not hold. */
    NO_LEASE("no_lease"),
    /** The volume's rate limit is reached. */
    LIMIT("limit"),
    /** The retry budget is exhausted, or its retry is not allowed now for another reason. */
    RETRY_BUDGET("budget"),
    /** An earlier operation of the same key has not ended, or the key is idle after it. */
    KEY_ORDER("order"),
    /** There is capacity, but an operation of higher priority takes it. */
    LOWER_PRIORITY("ranks_later"),
    /** Rejected: it would miss its latency objective. */
    OBJECTIVE_MISSED("late"),
    /** Rejected: its deadline is reached or too close. */
    DEADLINE("patience"),
    /** Rejected: no retry is allowed. */
    NO_RETRY("no_further_hop"),
    /** Abandoned: it may have been executed, and must not be executed again. */
    MAY_HAVE_EXECUTED("may_have_run");

    private final String externalName;

    Reason(String externalName) {
        this.externalName = externalName;
    }

    @Override
    public String externalName() {
        return externalName;
    }
}
