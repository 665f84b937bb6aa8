package sagepulley.accounts;

import sagepulley.model.Reason;

/** Where an operation's time went. The parts of an operation have no gaps and do not overlap. */
public enum LatencyComponent {
    /** Held by this gateway. */
    RESERVE_FULL,
    SHARE_FULL,
    BEYOND_SHARE,
    HELD_BACK,
    COLD,
    SILENT,
    NOT_READY,
    LIMIT,
    BUDGET,
    ORDER,
    RANKS_LATER,
    /** Waiting for the directory, or for the claim of an extent. */
    DIRECTORY,
    /** Between gateway and node; in the node's queue; worked on there. */
    ON_THE_WAY,
    NODE_QUEUE,
    NODE_WORK,
    /** In attempts that ended for nothing. */
    FUTILE;

    /** The part that a reason to wait stands for. */
    public static LatencyComponent of(Reason reason) {
        return switch (reason) {
            case RESERVATION_FULL -> RESERVE_FULL;
            case SHARE_FULL -> SHARE_FULL;
            case EXCESS_FULL -> BEYOND_SHARE;
            case QUEUE_AT_NODE -> HELD_BACK;
            case WARMING_UP -> COLD;
            case UNRESPONSIVE -> SILENT;
            case NOT_READY, NO_NODE -> NOT_READY;
            case LIMIT -> LIMIT;
            case RETRY_BUDGET, NO_RETRY, MAY_HAVE_EXECUTED -> BUDGET;
            case KEY_ORDER -> ORDER;
            default -> RANKS_LATER;
        };
    }
}
