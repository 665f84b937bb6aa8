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
            case RESERVE_FULL -> RESERVE_FULL;
            case SHARE_FULL -> SHARE_FULL;
            case BEYOND_SHARE -> BEYOND_SHARE;
            case HELD_BACK -> HELD_BACK;
            case COLD -> COLD;
            case SILENT -> SILENT;
            case NOT_READY, NO_NODE -> NOT_READY;
            case LIMIT -> LIMIT;
            case BUDGET, NO_FURTHER_HOP, MAY_HAVE_RUN -> BUDGET;
            case ORDER -> ORDER;
            default -> RANKS_LATER;
        };
    }
}
