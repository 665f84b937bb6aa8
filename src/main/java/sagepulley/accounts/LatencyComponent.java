package sagepulley.accounts;

import com.fasterxml.jackson.annotation.JsonProperty;
import sagepulley.model.ExternalName;
import sagepulley.model.Reason;

/**
 * Where an operation's time went. The components of an operation have no gaps and do not overlap.
 * Stored accounts refer to a component by its ordinal, so new ones go to the end.
 */
public enum LatencyComponent implements ExternalName {
    /** Held here: the node's concurrency limit is reached, inside the tenant's reservation. */
    @JsonProperty("RESERVE_FULL")
    RESERVATION_FULL("reserve_full"),
    /** Held here: the node's concurrency limit is reached, inside the tenant's share. */
    SHARE_FULL("share_full"),
    /** Held here: the node's concurrency limit is reached, in excess of the tenant's share. */
    @JsonProperty("BEYOND_SHARE")
    EXCESS_FULL("beyond_share"),
    /** Held here: the node's queue estimate is too high. */
    @JsonProperty("HELD_BACK")
    QUEUE_AT_NODE("held_back"),
    /** Held here: the node is in slow start. */
    @JsonProperty("COLD")
    WARMING_UP("cold"),
    /** Held here: the node gives no answers. */
    @JsonProperty("SILENT")
    UNRESPONSIVE("silent"),
    /** Held here: no node is ready. */
    NOT_READY("not_ready"),
    /** Held here: the tenant's rate limit. */
    LIMIT("limit"),
    /** Held here: the retry budget is spent. */
    @JsonProperty("BUDGET")
    RETRY_BUDGET("budget"),
    /** Held here: an earlier operation of the same key has not ended. */
    @JsonProperty("ORDER")
    KEY_ORDER("order"),
    /** Held here: operations of higher priority go first. */
    @JsonProperty("RANKS_LATER")
    LOWER_PRIORITY("ranks_later"),
    /** Waiting for the directory, or for the claim of an extent. */
    DIRECTORY("directory"),
    /** On the network between gateway and node, both ways. */
    @JsonProperty("ON_THE_WAY")
    NETWORK("on_the_way"),
    /** In the node's queue. */
    NODE_QUEUE("node_queue"),
    /** Executed by the node. */
    NODE_WORK("node_work"),
    /** In attempts that brought no answer. */
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

    /** The component that a reason to wait stands for. */
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
