package sagepulley.accounts;

import com.fasterxml.jackson.annotation.JsonProperty;
import sagepulley.model.ExternalName;
import sagepulley.model.Reason;

/**
 * A component of the latency of an operation. The components of an operation have no gaps and do
 * not overlap. Stored accounts refer to a component by its ordinal, so new components are added at
 * the end.
 */
public enum LatencyComponent implements ExternalName {
    /**
     * Wait at this gateway: the node's concurrency limit is reached, inside the tenant's
     * reservation.
     */
    @JsonProperty("RESERVE_FULL")
    RESERVATION_FULL("reserve_full"),
    /** Wait at this gateway: the node's concurrency limit is reached, inside the tenant's share. */
    SHARE_FULL("share_full"),
    /** Wait at this gateway: the node's concurrency limit is reached, in excess of the share. */
    @JsonProperty("BEYOND_SHARE")
    EXCESS_FULL("beyond_share"),
    /** Wait at this gateway: the node's queue estimate is too high. */
    @JsonProperty("HELD_BACK")
    QUEUE_AT_NODE("held_back"),
    /** Wait at this gateway: the node is in slow start. */
    @JsonProperty("COLD")
    WARMING_UP("cold"),
    /** Wait at this gateway: the node is unresponsive. */
    @JsonProperty("SILENT")
    UNRESPONSIVE("silent"),
    /** Wait at this gateway: no node is ready. */
    NOT_READY("not_ready"),
    /** Wait at this gateway: the tenant's rate limit is reached. */
    LIMIT("limit"),
    /** Wait at this gateway: the retry budget is exhausted. */
    @JsonProperty("BUDGET")
    RETRY_BUDGET("budget"),
    /** Wait at this gateway: an earlier operation of the same key has not ended. */
    @JsonProperty("ORDER")
    KEY_ORDER("order"),
    /** Wait at this gateway: operations of higher priority are dispatched first. */
    @JsonProperty("RANKS_LATER")
    LOWER_PRIORITY("ranks_later"),
    /** Wait for the directory, or for the claim of an extent. */
    DIRECTORY("directory"),
    /** Time on the network between gateway and node, in either direction. */
    @JsonProperty("ON_THE_WAY")
    NETWORK("on_the_way"),
    /** Wait in the node's queue. */
    NODE_QUEUE("node_queue"),
    /** Execution by the node. */
    NODE_WORK("node_work"),
    /** Time of an attempt that ended without a result. */
    @JsonProperty("FUTILE")
    FAILED_ATTEMPT("futile");

    private final String externalName;

    LatencyComponent(String externalName) {
        this.externalName = externalName;
    }

    @Override
    public String externalName() {
        return externalName;
    }

    /** Returns the component for a reason to wait. */
    public static LatencyComponent of(Reason reason) {
        return switch (reason) {
            case RESERVATION_FULL -> RESERVATION_FULL;
            case SHARE_FULL -> SHARE_FULL;
            case EXCESS_FULL -> EXCESS_FULL;
            case QUEUE_AT_NODE -> QUEUE_AT_NODE;
            case WARMING_UP -> WARMING_UP;
            case UNRESPONSIVE -> UNRESPONSIVE;
            case NOT_READY, NO_NODE -> NOT_READY;
            case LIMIT -> LIMIT;
            case RETRY_BUDGET, NO_RETRY, MAY_HAVE_EXECUTED -> RETRY_BUDGET;
            case KEY_ORDER -> KEY_ORDER;
            default -> LOWER_PRIORITY;
        };
    }
}
