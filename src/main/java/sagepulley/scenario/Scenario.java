package sagepulley.scenario;

import java.util.List;

/** A scripted scenario. Times are milliseconds from its start, shares 0 to 1. */
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

    /** The nodes, numbered from 1 and spread over the zones in turn. */
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
     * Requests that come at random times at a rate, whether or not answers keep up; through one
     * gateway, numbered from 1, or (0) through all of the volume's.
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

    /** What can go wrong. */
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
     * One fault: its targets (node numbers, or the gateway's), its magnitude, and until when; NaN
     * for good.
     */
    public record Event(
            double atMillis,
            Fault fault,
            List<Integer> targets,
            double magnitude,
            String load,
            double untilMillis) {}

    /**
     * What makes a volume wait is one of these: a cause's kind, with a volume's name or a node
     * after a colon.
     */
    public record KnownCause(String volume, List<String> causes) {}

    /** A volume's service must be over a share. */
    public record Expectation(String volume, double minService) {}
}
