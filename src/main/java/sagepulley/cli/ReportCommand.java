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

/** Reports from gateways' accounts which volume waited for what, and caused by whom. */
@Command(
        name = "report",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description =
                "Reads the latency accounts of one gateway, or of several together, and tells for each volume "
                        + "where its time went, what caused its waits, at which node and when, and what can be done.",
        footer = {
            "",
            "Exit codes: 0 told, 1 a file cannot be believed or has no such volume, 2 wrong words."
        })
final class ReportCommand implements Callable<Integer> {
    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Parameters(
            arity = "1..*",
            paramLabel = "FILE",
            description = "accounts files of gateways ([accounts] file)")
    private List<Path> files;

    @Option(names = "--volume", paramLabel = "NAME", description = "only this volume")
    private String only;

    @Option(
            names = "--since",
            defaultValue = "10m",
            paramLabel = "TIME",
            description =
                    "from when: 90s, 10m, 6h, or 2026-11-30T18:00 (default: ${DEFAULT-VALUE} before the end)")
    private String since;

    @Option(
            names = "--until",
            paramLabel = "TIME",
            description = "until when, likewise (default: the newest account)")
    private String until;

    @Option(names = "--json", description = "prints the figures as JSON")
    private boolean json;

    @Option(names = "--html", paramLabel = "OUT", description = "writes the report as one page")
    private Path html;

    private final Map<Long, String> names = new LinkedHashMap<>();

    @Override
<<<<<<< .merge_file_lbP18m
    public Integer call() throws Exception {
        List<FleetMerger.GatewayAccount> members = new ArrayList<>();
        for (Path file : files) {
            AccountFile.Loaded read = AccountFile.report(file);
            members.add(
                    new FleetMerger.GatewayAccount(
                            read.stored().gateway(),
                            read.account(),
                            read.stored().versionNotifiedAt()));
            names.putAll(read.stored().volumeNames());
        }
        FleetMerger.Merged merged = FleetMerger.merge(members);
        LatencyAccount book = merged.account();
        double newest = book.lastBookedAt();
=======
    public Integer call() throws IOException {
        FleetMerger.Merged merged = FleetMerger.merge(readMembers());
        LatencyAccount account = merged.book();
        double newest = account.newest();
>>>>>>> .merge_file_biasLO
        double to = until == null ? newest : time(until, newest);
        double from = time(since, to);
        List<LatencyReport> reports = reports(account, from, to);
        if (json) {
            System.out.println(
                    new JsonMapper()
                            .writeValueAsString(
                                    Map.of(
                                            "clocks",
                                            merged.clocks(),
                                            "names",
                                            names,
                                            "volumes",
                                            reports)));
            return Commands.OK;
        }
        Map<String, Object> page =
                new ReportPage(merged, names, html != null).values(reports, from, to);
        System.out.print(TemplateRenderer.fill("report.txt.ftl", page));
        if (html != null) {
            Files.writeString(html, TemplateRenderer.fill("report.ftlh", page));
        }
        return Commands.OK;
    }

    private List<FleetMerger.Member> readMembers() throws IOException {
        List<FleetMerger.Member> members = new ArrayList<>();
        for (Path file : files) {
            AccountFile.Read read = AccountFile.report(file);
            members.add(
                    new FleetMerger.Member(read.head().gateway(), read.book(), read.head().told()));
            names.putAll(read.head().names());
        }
        return members;
    }

    private List<LatencyReport> reports(LatencyAccount account, double from, double to)
            throws IOException {
        List<LatencyReport> reports = new ArrayList<>();
        for (long volume : account.volumes()) {
            if (only == null || only.equals(names.get(volume))) {
                reports.add(account.report(volume, from, to));
            }
        }
        if (reports.isEmpty()) {
            throw new IOException(
                    files.get(0) + ": has no volume" + (only == null ? "" : " called " + only));
        }
        return reports;
    }

    /** A time on the wall's clock in milliseconds, or so long before another. */
    private double time(String text, double before) {
        String length = text.toLowerCase(Locale.ROOT);
        try {
            if (length.matches("[0-9.]+[smh]")) {
                return before - Duration.parse("PT" + length.toUpperCase(Locale.ROOT)).toMillis();
            }
            return LocalDateTime.parse(text)
                    .atZone(ZoneId.systemDefault())
                    .toInstant()
                    .toEpochMilli();
        } catch (DateTimeException e) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(),
                    "'" + text + "' is no time: allowed are 90s, 10m, 6h or 2026-11-30T18:00");
        }
    }
<<<<<<< .merge_file_lbP18m

    private static String clock(double wall) {
        return CLOCK.format(Instant.ofEpochMilli((long) wall).atZone(ZoneId.systemDefault()));
    }

    private Map<String, Object> page(
            FleetMerger.Merged merged, List<LatencyReport> reports, double from, double to)
            throws IOException {
        Map<String, Object> page = new HashMap<>();
        page.put("from", clock(from));
        page.put("to", clock(to));
        List<Map<String, Object>> clocks = new ArrayList<>();
        for (FleetMerger.ClockOffset clock : merged.clocks()) {
            clocks.add(
                    Map.of(
                            "gateway",
                            clock.gateway(),
                            "known",
                            !Double.isNaN(clock.offsetMillis()),
                            "ahead",
                            Double.isNaN(clock.offsetMillis()) ? 0 : clock.offsetMillis() / 1000));
        }
        page.put("clocks", clocks);
        List<Map<String, Object>> volumes = new ArrayList<>();
        for (LatencyReport report : reports) {
            volumes.add(volume(merged.account(), report, from, to));
        }
        page.put("volumes", volumes);
        return page;
    }

    private Map<String, Object> volume(
            LatencyAccount book, LatencyReport report, double from, double to) throws IOException {
        Map<String, Object> volume = new HashMap<>();
        volume.put(
                "name",
                names.getOrDefault(
                        report.volume(),
                        report.volume() == 0 ? "(all others)" : "" + report.volume()));
        volume.put("report", report);
        List<Map<String, Object>> parts = new ArrayList<>();
        double whole =
                Math.max(
                        1e-9,
                        report.components().values().stream()
                                .mapToDouble(Double::doubleValue)
                                .sum());
        report.components()
                .forEach(
                        (part, time) ->
                                parts.add(
                                        Map.of(
                                                "text",
                                                AccountFormatter.part(part),
                                                "seconds",
                                                time / 1000,
                                                "share",
                                                time / whole)));
        parts.sort(
                (one, other) ->
                        Double.compare((Double) other.get("seconds"), (Double) one.get("seconds")));
        volume.put("parts", parts);
        List<Map<String, Object>> plan = new ArrayList<>();
        for (LatencyReport.TierReport line : report.tiers()) {
            plan.add(Map.of("name", AccountFormatter.of(line.tier()), "line", line));
        }
        volume.put("plan", plan);
        List<Map<String, Object>> causes = new ArrayList<>();
        for (LatencyReport.CauseReport charged :
                report.causes().stream().limit(MOST_CAUSES).toList()) {
            causes.add(
                    Map.of(
                            "text",
                            AccountFormatter.cause(charged, names),
                            "charged",
                            charged,
                            "seconds",
                            charged.waited() / 1000,
                            "share",
                            charged.kind() == Cause.Kind.OWN_WORK ? 0 : charged.share(),
                            "work",
                            charged.kind() == Cause.Kind.OWN_WORK));
        }
        volume.put("causes", causes);
        LatencyReport.CauseReport main = report.mainCause();
        if (main != null) {
            volume.put("main", AccountFormatter.cause(main, names));
            volume.put("confidence", AccountFormatter.of(main.confidence()));
            volume.put("share", main.share());
            volume.put("least", main.lowerBound() / 1000);
            volume.put("most", main.upperBound() / 1000);
            volume.put("when", clock(main.worstFrom()) + " to " + clock(main.worstTo()));
            volume.put("advice", AccountFormatter.advice(main, names));
            List<Integer> zone = zone(book, report, main);
            if (!zone.isEmpty()) {
                volume.put("zone", zone);
            }
        }
        if (html != null) {
            volume.put("plot", Plots.course(book.history(report.volume(), from, to)));
        }
        return volume;
    }

    /** The nodes of the main fault's zone, where most of them share the fault. */
    private static List<Integer> zone(
            LatencyAccount book, LatencyReport report, LatencyReport.CauseReport main) {
        if (main.kind() != Cause.Kind.FAULT) {
            return List.of();
        }
        List<Integer> faulty =
                report.causes().stream()
                        .filter(charged -> charged.kind() == Cause.Kind.FAULT)
                        .map(LatencyReport.CauseReport::node)
                        .toList();
        return FleetMerger.zoneAtFault(book, book.zones().getOrDefault(main.node(), -1), faulty);
    }
=======
>>>>>>> .merge_file_biasLO
}
