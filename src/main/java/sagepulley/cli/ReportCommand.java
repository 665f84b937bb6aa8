package sagepulley.cli;

import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.DateTimeException;
import java.time.Duration;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sagepulley.accounts.FleetMerger;
import sagepulley.accounts.LatencyAccount;
import sagepulley.accounts.LatencyReport;
import sagepulley.persistence.AccountFile;

/** Reports from stored latency accounts how long each volume waited and why. */
@Command(
        name = "report",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description =
                "Reads the latency accounts of one or more gateways and reports for each volume where its "
                        + "time was spent, what caused its waits, at which node and when, and what an "
                        + "operator can do.",
        footer = {
            "",
            "Exit codes: 0 success, 1 a file is invalid or has no such volume, 2 invalid arguments."
        })
final class ReportCommand implements Callable<Integer> {
    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Parameters(
            arity = "1..*",
            paramLabel = "FILE",
            description = "account files of gateways ([accounts] file)")
    private List<Path> files;

    @Option(names = "--volume", paramLabel = "NAME", description = "only this volume")
    private String volumeName;

    @Option(
            names = "--since",
            defaultValue = "10m",
            paramLabel = "TIME",
            description =
                    "start of the period: 90s, 10m or 6h before its end, or 2026-11-30T18:00 (default: "
                            + "${DEFAULT-VALUE})")
    private String since;

    @Option(
            names = "--until",
            paramLabel = "TIME",
            description =
                    "end of the period: a time, or a duration before the newest account (default: the "
                            + "newest account)")
    private String until;

    @Option(names = "--json", description = "prints the report as JSON")
    private boolean json;

    @Option(names = "--html", paramLabel = "OUT", description = "writes the report as an HTML page")
    private Path html;

    private final Map<Long, String> volumeNames = new LinkedHashMap<>();

    @Override
    public Integer call() throws IOException {
        FleetMerger.Merged merged = FleetMerger.merge(readAccounts());
        LatencyAccount account = merged.account();
        double newestMillis = account.newestWindowEnd();
        double to = until == null ? newestMillis : parseTime(until, newestMillis);
        double from = parseTime(since, to);
        List<LatencyReport> reports = reports(account, from, to);
        if (json) {
            System.out.println(
                    new JsonMapper()
                            .writeValueAsString(
                                    Map.of(
                                            "clocks",
                                            merged.clocks(),
                                            "names",
                                            volumeNames,
                                            "volumes",
                                            reports)));
            return Commands.OK;
        }
        Map<String, Object> page =
                new ReportPage(merged, volumeNames, html != null).values(reports, from, to);
        System.out.print(TemplateRenderer.render("report.txt.ftl", page));
        if (html != null) {
            Files.writeString(html, TemplateRenderer.render("report.ftlh", page));
        }
        return Commands.OK;
    }

    private List<FleetMerger.GatewayAccount> readAccounts() throws IOException {
        List<FleetMerger.GatewayAccount> members = new ArrayList<>();
        for (Path file : files) {
            AccountFile.Loaded loaded = AccountFile.inspect(file);
            members.add(
                    new FleetMerger.GatewayAccount(
                            loaded.stored().gateway(),
                            loaded.account(),
                            loaded.stored().versionNotifiedAt()));
            volumeNames.putAll(loaded.stored().volumeNames());
        }
        return members;
    }

    private List<LatencyReport> reports(LatencyAccount account, double from, double to)
            throws IOException {
        List<LatencyReport> reports = new ArrayList<>();
        for (long volume : account.volumes()) {
            if (volumeName == null || volumeName.equals(volumeNames.get(volume))) {
                reports.add(account.report(volume, from, to));
            }
        }
        if (reports.isEmpty()) {
            throw new IOException(
                    files.get(0)
                            + ": no volume"
                            + (volumeName == null ? "s" : " is named " + volumeName));
        }
        return reports;
    }

    /**
     * Returns a time in wall-clock milliseconds: a local date and time, or a duration before the
     * reference.
     */
    private double parseTime(String text, double referenceMillis) {
        String lower = text.toLowerCase(Locale.ROOT);
        try {
            if (lower.matches("[0-9.]+[smh]")) {
                return referenceMillis
                        - Duration.parse("PT" + lower.toUpperCase(Locale.ROOT)).toMillis();
            }
            return LocalDateTime.parse(text)
                    .atZone(ZoneId.systemDefault())
                    .toInstant()
                    .toEpochMilli();
        } catch (DateTimeException e) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(),
                    "invalid time '" + text + "', expected 90s, 10m, 6h or 2026-11-30T18:00");
        }
    }
}
