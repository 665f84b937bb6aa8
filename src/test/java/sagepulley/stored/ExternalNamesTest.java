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
 * Guards the names that users, scripts and dashboards depend on: options, JSON keys, metrics, span
 * fields and words of scenario files. Compares them with literals and with
 * src/test/resources/external.
 */
@Isolated("it redirects System.out and sets the time zone")
class ExternalNamesTest {
    private static final Path STORED = Path.of("src/test/resources/stored");
    private static final JsonMapper JSON = new JsonMapper();
    @TempDir private Path tempDir;
    private final TimeZone originalZone = TimeZone.getDefault();

    @BeforeEach
    void useUtc() {
        TimeZone.setDefault(TimeZone.getTimeZone("UTC"));
    }

    @AfterEach
    void restoreTimeZone() {
        TimeZone.setDefault(originalZone);
    }

    private static String runCommand(Object... arguments) {
        PrintStream originalOut = System.out;
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        System.setOut(new PrintStream(out, true, StandardCharsets.UTF_8));
        try {
            String[] line = Arrays.stream(arguments).map(String::valueOf).toArray(String[]::new);
            assertEquals(0, Commands.run(line), String.join(" ", line) + " " + out);
        } finally {
            System.setOut(originalOut);
        }
        return out.toString(StandardCharsets.UTF_8);
    }

    // ---- command line ----

    @Test
    void commandsAndOptionsAreUnchanged() throws IOException {
        TreeSet<String> lines = new TreeSet<>();
        collectOptions(new CommandLine(new Commands()), lines);
        ExpectedOutput.assertText("commands.txt", String.join("\n", lines) + "\n");
    }

    /** Collects names, labels, defaults and enum constants of all options and parameters. */
    private static void collectOptions(CommandLine command, Set<String> lines) {
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
        command.getSubcommands().values().forEach(each -> collectOptions(each, lines));
    }

    @Test
    void accountReportsAreUnchanged() throws IOException {
        Path file = Files.copy(STORED.resolve("accounts"), tempDir.resolve("accounts"));
        ExpectedOutput.assertJson(
                "report.json", runCommand("report", file, "--since", "100h", "--json"));
        Path html = tempDir.resolve("report.html");
        ExpectedOutput.assertText(
                "report.txt", runCommand("report", file, "--since", "100h", "--html", html));
        ExpectedOutput.assertText(
                "report.html",
                Files.readString(html).replaceAll("base64,[^\"]*\"", "base64,...\""));
    }

    @Test
    void listFileOutputIsUnchanged() throws IOException {
        Path file = Files.copy(STORED.resolve("nodes"), tempDir.resolve("nodes"));
        ExpectedOutput.assertJson(
                "list-file.json", runCommand("list-file", "show", file, "--json"));
        ExpectedOutput.assertText("list-file.txt", runCommand("list-file", "show", file));
        ExpectedOutput.assertText("list-file.csv", runCommand("list-file", "export", file));
    }

    @Test
    void checkSiteOutputIsUnchanged() throws IOException {
        Path file = tempDir.resolve("site.ini");
        Files.writeString(
                file, LocalCluster.demoSite("gw", 0, 1, 0, new InetSocketAddress("127.0.0.1", 9)));
        assertEquals(
                JSON.readTree("{\"usable\":true,\"mistakes\":[],\"file\":\"%s\"}".formatted(file)),
                JSON.readTree(runCommand("check-site", file, "--json")));
    }

    /** Covers the JSON rows of drill, truth and measure, which take too long to run in a test. */
    @Test
    void rowsOfExperimentsAreUnchanged() throws IOException {
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
        ThroughputComparison.PathMetrics pathMetrics =
                new ThroughputComparison.PathMetrics(1, 2, 3, 4);
        ScenarioRunner.Result drill =
                new ScenarioRunner.Result(
                        "day",
                        List.of(new RuleVerdict("rule", true, "1", "2", List.of("breach"))),
                        Map.of("v", 1.0),
                        List.of("unmet"),
                        1,
                        2,
                        3);
        ExpectedOutput.assertJson(
                "rows.json",
                JSON.writeValueAsString(
                        Map.of(
                                "truth",
                                truth,
                                "measure",
                                new ThroughputComparison.Row(
                                        "read", 1, 2, pathMetrics, pathMetrics, 3, 4, 5, 6),
                                "drill",
                                drill,
                                "confidence",
                                LatencyReport.Confidence.values())));
    }

    /** Scenario words that are parsed into enum constants. */
    @Test
    void faultWordsOfScenariosAreAccepted() throws Exception {
        String script = ScenarioRunner.builtIn("bad-evening");
        String nodes =
                "silent|paused|refusing|unreachable|cut|drains|garbles|restarts cold|loses"
                        + " power|gone|slow 3 times|losing 10 %|erring 10 %";
        String directory = "silent|down|failing|lagging 1 s|slow 1 s";
        for (String fault : nodes.split("\\|")) {
            assertEquals(
                    ScenarioReader.read("day", script).events().size() + 1,
                    ScenarioReader.read("day", script + "\nat 1 s node 1 " + fault + " for 1 s\n")
                            .events()
                            .size(),
                    fault);
        }
        for (String fault : directory.split("\\|")) {
            ScenarioReader.read("day", script + "\nat 1 s directory " + fault + " for 1 s\n");
        }
    }

    // ---- HTTP views ----

    private static String get(MonitoringServer server, String path) throws Exception {
        URI address = URI.create("http://127.0.0.1:" + server.address().getPort() + path);
        return HttpClient.newHttpClient()
                .send(HttpRequest.newBuilder(address).build(), HttpResponse.BodyHandlers.ofString())
                .body();
    }

    @Test
    void metricsAndViewsOfRunningGatewayAreUnchanged() throws Exception {
        try (LocalCluster cluster =
                LocalCluster.start(
                        List.of(NodeProfile.zeroCost(1, 1 << 20)), TrafficRecorder.NO_OP, 1)) {
            String text = LocalCluster.demoSite("gw", 0, 1, 0, cluster.directory().address());
            SiteConfig site = SiteConfig.read("site", text);
            NbdGateway gateway = LocalCluster.await(new NbdGateway(site, 1).start());
            InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
            try (MonitoringServer server = new MonitoringServer(site, gateway, any)) {
                ExpectedOutput.assertText(
                        "metrics.txt",
                        get(server, "/metrics")
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
                        KeyPaths.of(JSON.readTree(get(server, "/accounts"))));
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
                        KeyPaths.of(JSON.readTree(get(server, "/nodes"))));
            } finally {
                LocalCluster.await(gateway.stop());
            }
        }
    }

    /** Covers /accounts, which top reads, with every latency component, cause and plan tier. */
    @Test
    void accountsViewIsUnchanged() throws IOException {
        LatencyAccount account = AccountFile.inspect(STORED.resolve("accounts")).account();
        MonitoringServer.View view =
                new MonitoringServer.View(
                        "gw",
                        5,
                        Map.of(1L, "exams"),
                        List.of(account.report(2, 0, 1e13)),
                        account.flows(0, 1e13));
        ExpectedOutput.assertJson("accounts.json", JSON.writeValueAsString(view));
        Path expected = Path.of("src/test/resources/external/accounts.json");
        MonitoringServer.View read = JSON.readValue(expected.toFile(), MonitoringServer.View.class);
        ExpectedOutput.assertJson("accounts.json", JSON.writeValueAsString(read));
    }

    /** Covers /nodes with every freshness and record source. */
    @Test
    void nodesViewIsUnchanged() throws IOException {
        List<JsonNode> views = new ArrayList<>();
        for (ListFreshness freshness :
                List.of(ListFreshness.FRESH, ListFreshness.AGED, ListFreshness.OLD)) {
            List<Membership.MemberView> nodes = new ArrayList<>();
            for (RecordSource source : RecordSource.values()) {
                EndpointRecord.Phase phase = EndpointRecord.Phase.values()[source.ordinal() % 3];
                EndpointRecord line = new EndpointRecord(1, 2, 3, 4, phase, 5, 6, "h", 7);
                nodes.add(new Membership.MemberView(line, phase, true, true, source, "why"));
            }
            views.add(JSON.valueToTree(new NodesView("gw", freshness, 1, true, 2, nodes)));
        }
        ExpectedOutput.assertJson("nodes.json", JSON.writeValueAsString(views));
    }

    // ---- spans ----

    private static OperationTrace operationTrace(int number) {
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

    /** Replaces trace and span ids, which differ between runs. */
    private static String withoutIds(String lines) {
        return lines.replaceAll("\"(trace|span)\":\"[0-9a-f]+\"", "\"$1\":\"ID\"")
                .replaceAll("\"parent\":\"[0-9a-f]+\"", "\"parent\":\"ID\"");
    }

    @Test
    void spansAreWrittenInStoredFormat() throws IOException {
        Path file = tempDir.resolve("traces");
        try (Tracer tracer = new Tracer(new TracingSettings(file, 1 << 24, 2, "", 20, 1), "gw")) {
            for (int i = 0; i < Reason.values().length; i++) {
                tracer.submit(operationTrace(i));
            }
        }
        assertEquals(
                withoutIds(Files.readString(STORED.resolve("traces"))),
                withoutIds(Files.readString(file)));
    }

    @Test
    void storedSpansAreExplained() throws IOException {
        Path file = STORED.resolve("traces");
        ExpectedOutput.assertJson("explain.json", runCommand("explain", file, "3", "--json"));
        StringBuilder output = new StringBuilder(runCommand("explain", file, "--list", "100"));
        for (int i = 0; i < 18; i++) {
            output.append(runCommand("explain", file, i));
        }
        ExpectedOutput.assertText("explain.txt", output.toString());
    }
}
