package sagepulley.stored;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TimeZone;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Isolated;
import picocli.CommandLine;
import sagepulley.accounts.Accounts;
import sagepulley.accounts.LatencyAccount;
import sagepulley.accounts.LatencyComponent;
import sagepulley.accounts.LatencyReport;
import sagepulley.cli.Commands;
import sagepulley.config.SiteConfig;
import sagepulley.config.TracingSettings;
import sagepulley.frontend.nbd.NbdGateway;
import sagepulley.frontend.nbd.NodesView;
import sagepulley.membership.EndpointRecord;
import sagepulley.membership.ListFreshness;
import sagepulley.membership.Membership;
import sagepulley.membership.RecordSource;
import sagepulley.model.Outcome;
import sagepulley.model.QuotaTier;
import sagepulley.model.Reason;
import sagepulley.monitoring.MonitoringServer;
import sagepulley.persistence.AccountFile;
import sagepulley.scenario.AttributionExperiment;
import sagepulley.scenario.LocalCluster;
import sagepulley.scenario.RuleVerdict;
import sagepulley.scenario.ScenarioReader;
import sagepulley.scenario.ScenarioRunner;
import sagepulley.scenario.ThroughputComparison;
import sagepulley.standin.NodeProfile;
import sagepulley.standin.TrafficRecorder;
import sagepulley.tracing.OperationTrace;
import sagepulley.tracing.TailSampler;
import sagepulley.tracing.Tracer;

/**
 * Names that users, scripts and dashboards rely on: options, JSON keys, metrics, fields of spans,
 * words of scripted days. Compared with literals and with src/test/resources/external.
 */
@Isolated("it redirects System.out and sets the time zone")
class ExternalNamesTest {
    private static final Path STORED = Path.of("src/test/resources/stored");
    private static final JsonMapper JSON = new JsonMapper();
    @TempDir private Path folder;
    private final TimeZone zone = TimeZone.getDefault();

    @BeforeEach
    void fixTheZone() {
        TimeZone.setDefault(TimeZone.getTimeZone("UTC"));
    }

    @AfterEach
    void restoreTheZone() {
        TimeZone.setDefault(zone);
    }

    private static String printed(Object... words) {
        PrintStream before = System.out;
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        System.setOut(new PrintStream(out, true, StandardCharsets.UTF_8));
        try {
            String[] line = Arrays.stream(words).map(String::valueOf).toArray(String[]::new);
            assertEquals(0, Commands.run(line), String.join(" ", line) + " " + out);
        } finally {
            System.setOut(before);
        }
        return out.toString(StandardCharsets.UTF_8);
    }

    // ---- command line ----

    @Test
    void commandsAndOptions() throws IOException {
        TreeSet<String> lines = new TreeSet<>();
        collect(new CommandLine(new Commands()), lines);
        Expected.text("commands.txt", String.join("\n", lines) + "\n");
    }

    /** Names, labels, defaults, and the constants that an option of an enum type takes. */
    private static void collect(CommandLine command, Set<String> lines) {
        String name = command.getCommandSpec().qualifiedName();
        lines.add(name);
        for (CommandLine.Model.OptionSpec option : command.getCommandSpec().options()) {
            lines.add(
                    name
                            + " "
                            + String.join("|", option.names())
                            + (option.arity().max() == 0 ? "" : " " + option.paramLabel())
                            + (option.required() ? " required" : "")
                            + (option.defaultValue() == null
                                    ? ""
                                    : " default " + option.defaultValue())
                            + (option.completionCandidates() == null
                                    ? ""
                                    : " of " + option.completionCandidates()));
        }
        for (var positional : command.getCommandSpec().positionalParameters()) {
            lines.add(name + " " + positional.index() + " " + positional.paramLabel());
        }
        command.getSubcommands().values().forEach(each -> collect(each, lines));
    }

    @Test
    void reportOfAccounts() throws IOException {
        Path file = Files.copy(STORED.resolve("accounts"), folder.resolve("accounts"));
        Expected.json("report.json", printed("report", file, "--since", "100h", "--json"));
        Path html = folder.resolve("report.html");
        Expected.text("report.txt", printed("report", file, "--since", "100h", "--html", html));
        Expected.text(
                "report.html",
                Files.readString(html).replaceAll("base64,[^\"]*\"", "base64,...\""));
    }

    @Test
    void listOfNodes() throws IOException {
        Path file = Files.copy(STORED.resolve("nodes"), folder.resolve("nodes"));
        Expected.json("list-file.json", printed("list-file", "show", file, "--json"));
        Expected.text("list-file.txt", printed("list-file", "show", file));
        Expected.text("list-file.csv", printed("list-file", "export", file));
    }

    @Test
    void checkedSite() throws IOException {
        Path file = folder.resolve("site.ini");
        Files.writeString(
                file, LocalCluster.demoSite("gw", 0, 1, 0, new InetSocketAddress("127.0.0.1", 9)));
        assertEquals(
                JSON.readTree("{\"usable\":true,\"mistakes\":[],\"file\":\"%s\"}".formatted(file)),
                JSON.readTree(printed("check-site", file, "--json")));
    }

    /** What drill, truth and measure print with --json, which run too long for here. */
    @Test
    void rowsOfLongRuns() throws IOException {
        AttributionExperiment.Row truth =
                new AttributionExperiment.Row(
                        "day",
                        1,
                        "v",
                        List.of("a"),
                        "a",
                        0.5,
                        LatencyReport.Confidence.HIGH,
                        "b",
                        true,
                        true,
                        true);
        ThroughputComparison.PathMetrics pathMetrics = new ThroughputComparison.PathMetrics(1, 2, 3, 4);
        ScenarioRunner.Result drill =
                new ScenarioRunner.Result(
                        "day",
                        List.of(new RuleVerdict("rule", true, "1", "2", List.of("breach"))),
                        Map.of("v", 1.0),
                        List.of("unmet"),
                        1,
                        2,
                        3);
        Expected.json(
                "rows.json",
                JSON.writeValueAsString(
                        Map.of(
                                "truth",
                                truth,
                                "measure",
                                new ThroughputComparison.Row("read", 1, 2, pathMetrics, pathMetrics, 3, 4, 5, 6),
                                "drill",
                                drill,
                                "confidence",
                                LatencyReport.Confidence.values())));
    }

    /** Words of scripted days that become constants of an enum. */
    @Test
    void faultsOfScriptedDays() throws Exception {
        String day = ScenarioRunner.builtIn("bad-evening");
        String nodes =
                "silent|paused|refusing|unreachable|cut|drains|garbles|restarts cold|loses"
                        + " power|gone|slow 3 times|losing 10 %|erring 10 %";
        String directory = "silent|down|failing|lagging 1 s|slow 1 s";
        for (String fault : nodes.split("\\|")) {
            assertEquals(
                    ScenarioReader.read("day", day).events().size() + 1,
                    ScenarioReader.read("day", day + "\nat 1 s node 1 " + fault + " for 1 s\n")
                            .events()
                            .size(),
                    fault);
        }
        for (String fault : directory.split("\\|")) {
            ScenarioReader.read("day", day + "\nat 1 s directory " + fault + " for 1 s\n");
        }
    }

    // ---- figures over HTTP ----

    private static String get(MonitoringServer watch, String path) throws Exception {
        URI address = URI.create("http://127.0.0.1:" + watch.address().getPort() + path);
        return HttpClient.newHttpClient()
                .send(HttpRequest.newBuilder(address).build(), HttpResponse.BodyHandlers.ofString())
                .body();
    }

    @Test
    void metricsAndViewsOfARunningGateway() throws Exception {
        try (LocalCluster cluster =
                LocalCluster.start(
                        List.of(NodeProfile.zeroCost(1, 1 << 20)), TrafficRecorder.NO_OP, 1)) {
            String text = LocalCluster.demoSite("gw", 0, 1, 0, cluster.directory().address());
            SiteConfig site = SiteConfig.read("site", text);
            NbdGateway gateway = LocalCluster.await(new NbdGateway(site, 1).start());
            InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
            try (MonitoringServer watch = new MonitoringServer(site, gateway, any)) {
                Expected.text(
                        "metrics.txt",
                        get(watch, "/metrics")
                                .lines()
                                .map(
                                        line ->
                                                line.startsWith("#")
                                                        ? line
                                                        : line.replaceAll(" [^ ]*$", ""))
                                .sorted()
                                .collect(Collectors.joining("\n", "", "\n")));
                assertEquals(
                        "at\ngateway\nnames.1\nnodes\nvolumes\n",
                        KeyPaths.of(JSON.readTree(get(watch, "/accounts"))));
                assertEquals(
                        """
                        age
                        directory
                        gateway
                        nodes[].line.cell
                        nodes[].line.host
                        nodes[].line.kind
                        nodes[].line.node
                        nodes[].line.port
                        nodes[].line.standing
                        nodes[].line.startedAt
                        nodes[].line.weight
                        nodes[].line.zone
                        nodes[].proven
                        nodes[].reason
                        nodes[].source
                        nodes[].takesNew
                        nodes[].use
                        trust
                        unverifiedExtents
                        """,
                        KeyPaths.of(JSON.readTree(get(watch, "/nodes"))));
            } finally {
                LocalCluster.await(gateway.stop());
            }
        }
    }

    /**
     * The record that is written for /accounts, and read by top, with every part, kind and part of
     * the plan.
     */
    @Test
    void accountsOverHttp() throws IOException {
        LatencyAccount book = AccountFile.report(STORED.resolve("accounts")).account();
        MonitoringServer.View view =
                new MonitoringServer.View(
                        "gw",
                        5,
                        Map.of(1L, "exams"),
                        List.of(book.report(2, 0, 1e13)),
                        book.flows(0, 1e13));
        Expected.json("accounts.json", JSON.writeValueAsString(view));
        Path earlier = Path.of("src/test/resources/external/accounts.json");
        MonitoringServer.View read = JSON.readValue(earlier.toFile(), MonitoringServer.View.class);
        Expected.json("accounts.json", JSON.writeValueAsString(read));
    }

    /** The record that is written for /nodes, with every constant of its enums. */
    @Test
    void nodesOverHttp() throws IOException {
        List<JsonNode> views = new ArrayList<>();
        for (ListFreshness trust :
                List.of(ListFreshness.FRESH, ListFreshness.AGED, ListFreshness.OLD)) {
            List<Membership.MemberView> nodes = new ArrayList<>();
            for (RecordSource source : RecordSource.values()) {
                EndpointRecord.Phase standing = EndpointRecord.Phase.values()[source.ordinal() % 3];
                EndpointRecord line = new EndpointRecord(1, 2, 3, 4, standing, 5, 6, "h", 7);
                nodes.add(new Membership.MemberView(line, standing, true, true, source, "why"));
            }
            views.add(JSON.valueToTree(new NodesView("gw", trust, 1, true, 2, nodes)));
        }
        Expected.json("nodes.json", JSON.writeValueAsString(views));
    }

    // ---- spans ----

    private static OperationTrace story(int number) {
        Reason reason = Reason.values()[number];
        QuotaTier quotaTier = QuotaTier.values()[number % 3];
        Outcome outcome = number == 8 ? null : Outcome.values()[number % 8];
        return new OperationTrace(
                "gw",
                number,
                40 + number,
                "exams",
                "read",
                "write",
                9,
                1.5,
                1_764_700_000_000.0 + 1000 * number,
                20,
                Accounts.End.values()[number % 4],
                reason,
                "its own load",
                TailSampler.SampleReason.values()[number % 5],
                2,
                List.of(
                        new OperationTrace.Step(LatencyComponent.values()[number % 16], 0, 4),
                        new OperationTrace.Step(LatencyComponent.NODE_WORK, 5, 16)),
                List.of(
                        new OperationTrace.Attempt(
                                0, 5, number == 8 ? null : quotaTier, 4, 15, outcome)));
    }

    /** Ids differ from run to run. */
    private static String withoutIds(String lines) {
        return lines.replaceAll("\"(trace|span)\":\"[0-9a-f]+\"", "\"$1\":\"ID\"")
                .replaceAll("\"parent\":\"[0-9a-f]+\"", "\"parent\":\"ID\"");
    }

    @Test
    void spansAreWrittenAsBefore() throws IOException {
        Path file = folder.resolve("traces");
        try (Tracer tracer = new Tracer(new TracingSettings(file, 1 << 24, 2, "", 20, 1), "gw")) {
            for (int i = 0; i < Reason.values().length; i++) {
                tracer.submit(story(i));
            }
        }
        assertEquals(
                withoutIds(Files.readString(STORED.resolve("traces"))),
                withoutIds(Files.readString(file)));
    }

    @Test
    void storedSpansAreExplained() throws IOException {
        Path file = STORED.resolve("traces");
        Expected.json("explain.json", printed("explain", file, "3", "--json"));
        StringBuilder told = new StringBuilder(printed("explain", file, "--list", "100"));
        for (int i = 0; i < 18; i++) {
            told.append(printed("explain", file, i));
        }
        Expected.text("explain.txt", told.toString());
    }
}
