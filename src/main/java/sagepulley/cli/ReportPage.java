package sagepulley.cli;

import java.io.IOException;
import java.time.Instant;
import java.time.ZoneId;
import java.time.format.DateTimeFormatter;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sagepulley.accounts.Cause;
import sagepulley.accounts.FleetMerger;
import sagepulley.accounts.LatencyAccount;
import sagepulley.accounts.LatencyReport;

/** Builds the values that the report templates insert; the map keys are their template names. */
final class ReportPage {
    private static final int MAX_CAUSES = 8;
    private static final double MILLIS_PER_SECOND = 1000;
    private static final DateTimeFormatter TIME_FORMAT =
            DateTimeFormatter.ofPattern("yyyy-MM-dd HH:mm:ss");

    private final FleetMerger.Merged merged;
    private final Map<Long, String> names;
    private final boolean includePlots;

    /**
     * Creates a page for merged accounts.
     *
     * @param names volume names by volume number
     * @param includePlots whether each volume has a plot of its latency over time
     */
    ReportPage(FleetMerger.Merged merged, Map<Long, String> names, boolean includePlots) {
        this.merged = merged;
        this.names = names;
        this.includePlots = includePlots;
    }

    /** Returns the values for the reports of a period, given in wall-clock milliseconds. */
    Map<String, Object> values(List<LatencyReport> reports, double from, double to)
            throws IOException {
        Map<String, Object> page = new HashMap<>();
        page.put("from", formatTime(from));
        page.put("to", formatTime(to));
        page.put("clocks", merged.clocks().stream().map(ReportPage::clockValues).toList());
        List<Map<String, Object>> volumes = new ArrayList<>();
        for (LatencyReport report : reports) {
            volumes.add(volume(report, from, to));
        }
        page.put("volumes", volumes);
        return page;
    }

    private static String formatTime(double wallMillis) {
        return TIME_FORMAT.format(
                Instant.ofEpochMilli((long) wallMillis).atZone(ZoneId.systemDefault()));
    }

    private static Map<String, Object> clockValues(FleetMerger.ClockOffset clock) {
        boolean known = !Double.isNaN(clock.offsetMillis());
        return Map.of(
                "gateway",
                clock.gateway(),
                "known",
                known,
                "ahead",
                known ? clock.offsetMillis() / MILLIS_PER_SECOND : 0);
    }

    private Map<String, Object> volume(LatencyReport report, double from, double to)
            throws IOException {
        Map<String, Object> volume = new HashMap<>();
        volume.put("name", volumeName(report.volume()));
        volume.put("report", report);
        volume.put("parts", parts(report));
        volume.put(
                "plan",
                report.tiers().stream()
                        .map(
                                tier ->
                                        Map.of(
                                                "name",
                                                AccountFormatter.label(tier.tier()),
                                                "line",
                                                tier))
                        .toList());
        volume.put("causes", report.causes().stream().limit(MAX_CAUSES).map(this::cause).toList());
        if (report.mainCause() != null) {
            volume.putAll(mainCause(report));
        }
        if (includePlots) {
            volume.put(
                    "plot",
                    Plots.latencyOverTime(merged.account().history(report.volume(), from, to)));
        }
        return volume;
    }

    private String volumeName(long volume) {
        return names.getOrDefault(volume, volume == 0 ? "(all others)" : "" + volume);
    }

    private static List<Map<String, Object>> parts(LatencyReport report) {
        double totalMillis =
                Math.max(
                        1e-9,
                        report.components().values().stream()
                                .mapToDouble(Double::doubleValue)
                                .sum());
        List<Map<String, Object>> parts = new ArrayList<>();
        report.components()
                .forEach(
                        (component, millis) ->
                                parts.add(
                                        Map.of(
                                                "text",
                                                AccountFormatter.component(component),
                                                "seconds",
                                                millis / MILLIS_PER_SECOND,
                                                "share",
                                                millis / totalMillis)));
        parts.sort(
                Comparator.comparing(
                        (Map<String, Object> part) -> (Double) part.get("seconds"),
                        Comparator.reverseOrder()));
        return parts;
    }

    private Map<String, Object> cause(LatencyReport.CauseReport cause) {
        boolean ownWork = cause.kind() == Cause.Kind.OWN_WORK;
        return Map.of(
                "text",
                AccountFormatter.cause(cause, names),
                "charged",
                cause,
                "seconds",
                cause.waited() / MILLIS_PER_SECOND,
                "share",
                ownWork ? 0 : cause.share(),
                "work",
                ownWork);
    }

    private Map<String, Object> mainCause(LatencyReport report) {
        LatencyReport.CauseReport main = report.mainCause();
        Map<String, Object> values = new HashMap<>();
        values.put("main", AccountFormatter.cause(main, names));
        values.put("confidence", AccountFormatter.label(main.confidence()));
        values.put("share", main.share());
        values.put("least", main.lowerBound() / MILLIS_PER_SECOND);
        values.put("most", main.upperBound() / MILLIS_PER_SECOND);
        values.put("when", formatTime(main.worstFrom()) + " to " + formatTime(main.worstTo()));
        values.put("advice", AccountFormatter.advice(main, names));
        List<Integer> faultyNodes = faultyNodesOfZone(merged.account(), report, main);
        if (!faultyNodes.isEmpty()) {
            values.put("zone", faultyNodes);
        }
        return values;
    }

    /**
     * Returns the faulty nodes in the zone of the main cause, if they are more than one and at
     * least half of the zone; otherwise an empty list.
     */
    private static List<Integer> faultyNodesOfZone(
            LatencyAccount account, LatencyReport report, LatencyReport.CauseReport main) {
        if (main.kind() != Cause.Kind.FAULT) {
            return List.of();
        }
        List<Integer> faulty =
                report.causes().stream()
                        .filter(cause -> cause.kind() == Cause.Kind.FAULT)
                        .map(LatencyReport.CauseReport::node)
                        .toList();
        return FleetMerger.faultyNodesOfZone(
                account, account.zones().getOrDefault(main.node(), -1), faulty);
    }
}
