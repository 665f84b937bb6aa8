package sagepulley.cli;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import sagepulley.accounts.LatencyReport;
import sagepulley.monitoring.MonitoringServer;

/** Renders a screen of the top command: volumes, most utility lost first, then nodes. */
final class TopScreen {
    private final MonitoringServer.View view;
    private final int maxRows;
    private final StringBuilder text = new StringBuilder();

    /** Creates a screen with up to the given number of rows in each table. */
    TopScreen(MonitoringServer.View view, int maxRows) {
        this.view = view;
        this.maxRows = maxRows;
    }

    String render() {
        append(
                "gateway %s, the last ten minutes%n%n%-20s %9s %9s %9s %9s %9s %9s  %s%n",
                view.gateway(),
                "volume",
                "units",
                "in time",
                "not",
                "declined",
                "p99 ms",
                "lost",
                "waits mainly for");
        List<LatencyReport> volumes = new ArrayList<>(view.volumes());
        volumes.sort(
                Comparator.comparingDouble(LatencyReport::lostWeight)
                        .thenComparingDouble(LatencyReport::units)
                        .reversed());
        volumes.stream().limit(maxRows).forEach(this::appendVolume);
        append("%n%-20s %9s %9s  %s%n", "node", "units", "writes", "most of it from");
        view.nodes().entrySet().stream()
                .limit(maxRows)
                .forEach(entry -> appendNode(entry.getKey(), entry.getValue()));
        return text.toString();
    }

    private void appendVolume(LatencyReport report) {
        double p99 =
                report.tiers().stream().mapToDouble(LatencyReport.TierReport::p99).max().orElse(0);
        append(
                "%-20s %9.0f %9d %9d %9d %9.1f %9.1f  %s%n",
                AccountFormatter.volume(report.volume(), view.names()).replaceFirst("^volume ", ""),
                report.units(),
                report.met(),
                report.missed(),
                report.rejected(),
                p99,
                report.lostWeight(),
                mainCause(report));
    }

    private String mainCause(LatencyReport report) {
        LatencyReport.CauseReport main = report.mainCause();
        if (main == null) {
            return "-";
        }
        return AccountFormatter.cause(main, view.names())
                + ", "
                + Math.round(100 * main.share())
                + " %, confidence "
                + AccountFormatter.label(main.confidence());
    }

    /** Appends a node's row; a volume maps to the units of all its operations and of its writes. */
    private void appendNode(int node, Map<Long, double[]> volumes) {
        double units = volumes.values().stream().mapToDouble(sums -> sums[0]).sum();
        double writes = volumes.values().stream().mapToDouble(sums -> sums[1]).sum();
        Map.Entry<Long, double[]> largest =
                volumes.entrySet().stream()
                        .max(Comparator.comparingDouble(volume -> volume.getValue()[0]))
                        .orElseThrow();
        append(
                "%-20d %9.0f %8.0f%%  %s, %.0f %%%n",
                node,
                units,
                100 * writes / Math.max(1e-9, units),
                AccountFormatter.volume(largest.getKey(), view.names()),
                100 * largest.getValue()[0] / Math.max(1e-9, units));
    }

    private void append(String format, Object... values) {
        text.append(String.format(Locale.ROOT, format, values));
    }
}
