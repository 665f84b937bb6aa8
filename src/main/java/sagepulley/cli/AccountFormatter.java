package sagepulley.cli;

import java.util.Map;
import sagepulley.accounts.Cause;
import sagepulley.accounts.LatencyComponent;
import sagepulley.accounts.LatencyReport;
import sagepulley.model.ExternalName;

/** Formats latency components, causes and advice for reports. */
final class AccountFormatter {
    private AccountFormatter() {}

    /** Returns the external name of an enum constant, with spaces in place of underscores. */
    static String label(Enum<?> constant) {
        return ExternalName.of(constant).replace('_', ' ');
    }

    /** Describes a latency component. */
    static String component(LatencyComponent component) {
        return switch (component) {
            case RESERVATION_FULL -> "held here: node's bound full, in its reserve";
            case SHARE_FULL -> "held here: node's bound full, in its share";
            case EXCESS_FULL -> "held here: beyond its share";
            case QUEUE_AT_NODE -> "held here: a queue seen at the node";
            case WARMING_UP -> "held here: the node started lately";
            case UNRESPONSIVE -> "held here: the node gives no answers";
            case NOT_READY -> "held here: no node that is ready";
            case LIMIT -> "held here: its plan's limit";
            case RETRY_BUDGET -> "held here: the budget of further hops";
            case KEY_ORDER -> "held here: the order of its extent";
            case LOWER_PRIORITY -> "held here: others rank before it";
            case DIRECTORY -> "waiting for the directory or a claim";
            case NETWORK -> "on the way to the node and back";
            case NODE_QUEUE -> "in the node's queue";
            case NODE_WORK -> "worked on by the node";
            case FAILED_ATTEMPT -> "in hops that ended for nothing";
        };
    }

    /** Describes a volume by its name, or by its number if that is unknown; 0 is all others. */
    static String volume(long number, Map<Long, String> names) {
        return number == 0 ? "other volumes" : "volume " + names.getOrDefault(number, "" + number);
    }

    /** Describes the cause of a wait. */
    static String cause(Cause.Kind kind, long volume, int node, Map<Long, String> names) {
        String atNode = node == 0 ? "" : " at node " + node;
        return switch (kind) {
            case OWN_LOAD -> "its own load" + atNode;
            case OWN_LIMIT -> "its plan's limit";
            case OWN_WORK -> "its own work";
            case NEIGHBOUR -> "load of " + volume(volume, names) + atNode;
            case OTHER_GATEWAYS -> "work through other gateways" + atNode;
            case SLOW_NODE -> "node " + node + " works slower than the rest";
            case PAUSE ->
                    "pauses"
                            + atNode
                            + (volume == 0 ? "" : " after writes of " + volume(volume, names));
            case WARMING_UP_NODE -> "node " + node + " started lately";
            case FAULT -> node == 0 ? "no node was ready" : "node " + node + " did not do its work";
            case LOCAL_THROTTLING -> "the gateway's caution" + atNode;
            case DIRECTORY -> "the directory";
            case NETWORK -> "the way to node " + node;
        };
    }

    static String cause(LatencyReport.CauseReport report, Map<Long, String> names) {
        return cause(report.kind(), report.volume(), report.node(), names);
    }

    /** Returns advice for an operator on how to address a cause. */
    static String advice(LatencyReport.CauseReport report, Map<Long, String> names) {
        return switch (report.kind()) {
            case OWN_LOAD ->
                    "Its load exceeds what its plan guarantees: enlarge its share or reserve, or reduce "
                            + "its load.";
            case OWN_LIMIT ->
                    "It reaches the limit of its plan: raise the limit, or spread its operations over "
                            + "time.";
            case OWN_WORK -> "No wait to reduce.";
            case NEIGHBOUR ->
                    "Give "
                            + volume(report.volume(), names)
                            + " a limit, or this volume a reserve; "
                            + "moving extents off node "
                            + report.node()
                            + " separates the two.";
            case OTHER_GATEWAYS ->
                    "Run the report on the account files of all gateways: it then names the volume that "
                            + "caused the load.";
            case SLOW_NODE ->
                    "Check the disks and the other tenants of node "
                            + report.node()
                            + ". Draining it moves "
                            + "new objects away.";
            case PAUSE ->
                    "Node "
                            + report.node()
                            + " pauses, as nodes with deferred writes do: check "
                            + "its flushing, and the volumes that write there.";
            case WARMING_UP_NODE ->
                    "Node "
                            + report.node()
                            + " was restarted and is warming up. If it restarts often, find "
                            + "the reason.";
            case FAULT ->
                    report.node() == 0
                            ? "Check the list of nodes for drained, removed or missing nodes."
                            : "Check node "
                                    + report.node()
                                    + " and the network to it: it returned errors or did not "
                                    + "answer.";
            case LOCAL_THROTTLING ->
                    "The gateway delayed it (queue estimate, retry budget or priority): check the "
                            + "declined operations and the node's state.";
            case DIRECTORY -> "Check the directory: its answers are late or missing.";
            case NETWORK -> "See the way to node " + report.node() + ".";
        };
    }
}
