package sagepulley.scenario;

import java.util.List;

/** A parsed scenario script. Times are milliseconds from the start; shares range from 0 to 1. */
public record Scenario(
        String name,
        long seed,
        int gateways,
        Nodes nodes,
        String site,
        List<Load> loads,
        List<Event> events,
        double endMillis,
        List<Expectation> expectations,
        List<KnownCause> causes) {

    /** The nodes, numbered from 1 and assigned to the zones in turn. */
    public record Nodes(
            int count,
            int slots,
            int queue,
            double readCostMillis,
            double writeCostMillis,
            int zones,
            double deferredShare,
            double deferIntervalMillis) {}

    /**
     * Requests to one volume at random times, independent of the answers.
     *
     * @param extents the number of extents from the start of the volume that requests touch
     * @param connections the number of connections to each gateway
     * @param gateway the number of the gateway, from 1; 0 for all gateways of the volume
     */
    public record Load(
            String name,
            String volume,
            double requestsPerSecond,
            double readShare,
            int bytes,
            double fromMillis,
            double toMillis,
            int extents,
            int connections,
            int gateway) {}

    /** The faults that a script can inject. */
    public enum Fault {
        SILENT,
        PAUSED,
        REFUSING,
        UNREACHABLE,
        CUT,
        DRAINS,
        GARBLES,
        RESTARTS_COLD,
        LOSES_POWER,
        GONE,
        SLOW,
        LOSING,
        ERRING,
        DIRECTORY_SILENT,
        DIRECTORY_DOWN,
        DIRECTORY_FAILING,
        DIRECTORY_LAGGING,
        DIRECTORY_SLOW,
        GATEWAY_KILLED,
        SURGE
    }

    /**
     * One fault in the script.
     *
     * @param targets the numbers of the nodes, or of the gateway
     * @param magnitude a factor, a share or milliseconds, depending on the fault
     * @param load the name of the load; empty except for a surge
     * @param untilMillis the end of the fault; NaN if the script does not end it
     */
    public record Event(
            double atMillis,
            Fault fault,
            List<Integer> targets,
            double magnitude,
            String load,
            double untilMillis) {}

    /**
     * The accepted main causes of a volume's latency. Each is the kind of a cause, optionally with
     * the name of a volume or the number of a node after a colon.
     */
    public record KnownCause(String volume, List<String> causes) {}

    /** Requires that the service of a volume exceeds a share. */
    public record Expectation(String volume, double minService) {}
}
