package sagepulley.cli;

import java.util.Map;
import sagepulley.accounts.Cause;
import sagepulley.accounts.LatencyComponent;
import sagepulley.accounts.LatencyReport;
import sagepulley.model.ExternalName;

/** Texts for accounts: where time went, what caused it, and what an operator can do about it. */
final class AccountFormatter {
    private AccountFormatter() {}

    /** An enum constant by its external name, with spaces. */
    static String label(Enum<?> constant) {
        return ExternalName.of(constant).replace('_', ' ');
    }

    /** Where an operation spent time. */
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

    /** A volume by its name, or its number where the name is not known. */
    static String volume(long number, Map<Long, String> names) {
        return number == 0 ? "other volumes" : "volume " + names.getOrDefault(number, "" + number);
    }

    /** What caused a wait. */
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

    /** What an operator can do about a cause. */
    static String advice(LatencyReport.CauseReport report, Map<Long, String> names) {
        return switch (report.kind()) {
            case OWN_LOAD ->
                    "It asks for more than its plan owes it: a larger share or reserve, or less at once.";
            case OWN_LIMIT ->
                    "Its plan's limit holds it: raise the limit, or spread its operations over time.";
            case OWN_WORK -> "Nothing held it up.";
            case NEIGHBOUR ->
                    "Give "
                            + volume(report.volume(), names)
                            + " a limit, or this one a reserve; "
                            + "moving extents off node "
                            + report.node()
                            + " parts them.";
            case OTHER_GATEWAYS ->
                    "Read the other gateways' files together with this one: they tell whose work it was.";
            case SLOW_NODE ->
                    "Look at node "
                            + report.node()
                            + ": its disks, its other tenants. Draining it moves "
                            + "new objects away.";
            case PAUSE ->
                    "Node "
                            + report.node()
                            + " pauses of its own, as nodes do that put writes off: look at "
                            + "its flushing, and at who writes there.";
            case WARMING_UP_NODE ->
                    "Node "
                            + report.node()
                            + " was restarted; this passes. If it restarts often, see why.";
            case FAULT ->
                    report.node() == 0
                            ? "See the list of nodes: drained, gone, or not told."
                            : "See node "
                                    + report.node()
                                    + " and the way to it: it gave no answer, or an error.";
            case LOCAL_THROTTLING ->
                    "The gateway held it by its own rules (budget of further hops, rank): see the day's "
                            + "declines and the node's state.";
            case DIRECTORY -> "See the directory: its answers come late or not at all.";
            case NETWORK -> "See the way to node " + report.node() + ".";
        };
    }
}
