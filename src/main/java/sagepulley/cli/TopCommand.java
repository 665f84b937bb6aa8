package sagepulley.cli;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sagepulley.config.HostPort;
import sagepulley.monitoring.MonitoringServer;

/** Shows a gateway's volumes and nodes live. */
@Command(
        name = "top",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description =
                "Shows a running gateway's volumes (those that lost most utility first) and nodes in the terminal, "
                        + "by its accounts of the last ten minutes ([watch] listen).")
final class TopCommand implements Callable<Integer> {
    private static final String CLEAR_SCREEN = "\u001b[H\u001b[2J";
    private static final double MILLIS_PER_SECOND = 1000;

    @Parameters(
            paramLabel = "HOST:PORT",
            converter = AddressConverter.class,
            description = "of the gateway's [watch]")
    private HostPort address;

    @Option(
            names = "--every",
            defaultValue = "2",
            paramLabel = "SECONDS",
            description = "(default: ${DEFAULT-VALUE})")
    private double every;

    @Option(
            names = "--rows",
            defaultValue = "20",
            description = "volumes and nodes shown (default: ${DEFAULT-VALUE})")
    private int rows;

    @Option(names = "--once", description = "prints once and ends")
    private boolean once;

    @Option(names = "--json", description = "prints once, as JSON")
    private boolean json;

    @Override
    public Integer call() throws Exception {
        WatchClient watch = new WatchClient(address);
        while (true) {
            String answer = watch.get("/accounts");
            if (json) {
                System.out.println(answer);
                return Commands.OK;
            }
            MonitoringServer.View view =
                    JsonMapper.builder()
                            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                            .build()
                            .readValue(answer, MonitoringServer.View.class);
            System.out.print((once ? "" : CLEAR_SCREEN) + new TopText(view, rows).text());
            if (once) {
                return Commands.OK;
            }
            Thread.sleep((long) (every * MILLIS_PER_SECOND));
        }
    }
<<<<<<< .merge_file_qnzeWF

    private String text(MonitoringServer.View view) {
        StringBuilder text = new StringBuilder();
        text.append(
                String.format(
                        Locale.ROOT,
                        "gateway %s, the last ten minutes%n%n%-20s %9s %9s %9s %9s %9s %9s  %s%n",
                        view.gateway(),
                        "volume",
                        "units",
                        "in time",
                        "not",
                        "declined",
                        "p99 ms",
                        "lost",
                        "waits mainly for"));
        List<LatencyReport> volumes = new ArrayList<>(view.volumes());
        volumes.sort(
                Comparator.comparingDouble(LatencyReport::lostWeight)
                        .thenComparingDouble(LatencyReport::units)
                        .reversed());
        for (LatencyReport report : volumes.stream().limit(rows).toList()) {
            double p99 =
                    report.tiers().stream()
                            .mapToDouble(LatencyReport.TierReport::p99)
                            .max()
                            .orElse(0);
            LatencyReport.CauseReport main = report.mainCause();
            text.append(
                    String.format(
                            Locale.ROOT,
                            "%-20s %9.0f %9d %9d %9d %9.1f %9.1f  %s%n",
                            AccountFormatter.volume(report.volume(), view.names())
                                    .replaceFirst("^volume ", ""),
                            report.units(),
                            report.met(),
                            report.missed(),
                            report.rejected(),
                            p99,
                            report.lostWeight(),
                            main == null
                                    ? "-"
                                    : AccountFormatter.cause(main, view.names())
                                            + ", "
                                            + Math.round(100 * main.share())
                                            + " %, confidence "
                                            + AccountFormatter.of(main.confidence())));
        }
        text.append(
                String.format(
                        Locale.ROOT,
                        "%n%-20s %9s %9s  %s%n",
                        "node",
                        "units",
                        "writes",
                        "most of it from"));
        view.nodes().entrySet().stream()
                .limit(rows)
                .forEach(
                        entry -> {
                            double sum =
                                    entry.getValue().values().stream()
                                            .mapToDouble(both -> both[0])
                                            .sum();
                            double writes =
                                    entry.getValue().values().stream()
                                            .mapToDouble(both -> both[1])
                                            .sum();
                            Map.Entry<Long, double[]> most =
                                    entry.getValue().entrySet().stream()
                                            .max(
                                                    Comparator.comparingDouble(
                                                            one -> one.getValue()[0]))
                                            .orElseThrow();
                            text.append(
                                    String.format(
                                            Locale.ROOT,
                                            "%-20d %9.0f %8.0f%%  %s, %.0f %%%n",
                                            entry.getKey(),
                                            sum,
                                            100 * writes / Math.max(1e-9, sum),
                                            AccountFormatter.volume(most.getKey(), view.names()),
                                            100 * most.getValue()[0] / Math.max(1e-9, sum)));
                        });
        return text.toString();
    }
=======
>>>>>>> .merge_file_OJjaoS
}
