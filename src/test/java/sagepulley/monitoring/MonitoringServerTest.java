package sagepulley.monitoring;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpServer;
import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
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
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import sagepulley.accounts.LatencyReport;
import sagepulley.cli.Commands;
import sagepulley.codec.frame.EventLoops;
import sagepulley.codec.nbd.NbdClient;
import sagepulley.codec.nbd.NbdReply;
import sagepulley.config.SiteConfig;
import sagepulley.frontend.nbd.NbdGateway;
import sagepulley.scenario.LocalCluster;
import sagepulley.standin.NodeProfile;
import sagepulley.standin.TrafficRecorder;

/**
 * Tests accounts, traces, HTTP views and list files of running gateways through the commands that
 * read them.
 */
class MonitoringServerTest {
    private static final int MIB = 1 << 20;
    @TempDir private Path folder;
    private LocalCluster cluster;

    @BeforeEach
    void startCluster() {
        List<NodeProfile> profiles = new ArrayList<>();
        for (int i = 1; i <= 2; i++) {
            profiles.add(NodeProfile.zeroCost(i, MIB).withCost(2, 2));
        }
        cluster = LocalCluster.start(profiles, TrafficRecorder.NO_OP, 2);
    }

    @AfterEach
    void stopCluster() {
        cluster.close();
    }

    private String site(String sections) {
        return LocalCluster.demoSite("gw", 0, 1, 0, cluster.directory().address()) + sections;
    }

    private static NbdGateway start(String site, long seed) throws Exception {
        return LocalCluster.await(new NbdGateway(SiteConfig.read("site", site), seed).start());
    }

    private void sendRequests(NbdGateway gateway, int operations) {
        NbdClient client =
                LocalCluster.await(
                        NbdClient.open(
                                cluster.loops(),
                                EventLoops.socket(),
                                gateway.address(),
                                "demo",
                                NbdClient.Style.GO));
        for (int i = 0; i < operations; i++) {
            LocalCluster.await(client.write(i % 8 * (long) MIB, new byte[4096])).release();
        }
        NbdReply reply = LocalCluster.await(client.read(0, 4096));
        ByteBuf data = reply.data();
        data.release();
        client.channel().close().awaitUninterruptibly();
    }

    private static String runCommand(String... arguments) {
        PrintStream originalOut = System.out;
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        System.setOut(new PrintStream(out, true, StandardCharsets.UTF_8));
        try {
            assertEquals(0, Commands.run(arguments), String.join(" ", arguments) + " " + out);
        } finally {
            System.setOut(originalOut);
        }
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void accountsSurviveRestartAndTruncatedFileIsSetAside() throws Exception {
        Path file = folder.resolve("accounts");
        String site = site("\n[accounts]\nfile = " + file + "\nevery = 1 h\n");
        NbdGateway first = start(site, 1);
        sendRequests(first, 20);
        LocalCluster.await(first.stop());
        NbdGateway second = start(site, 2);
        sendRequests(second, 10);
        Map<String, LatencyReport> reports = LocalCluster.await(second.accounts(60_000));
        assertEquals(32, reports.get("demo").operations());
        LocalCluster.await(second.stop());
        // A killed gateway writes no final snapshot: the file is that of the last clean shutdown.
        NbdGateway third = start(site, 3);
        sendRequests(third, 5);
        LocalCluster.await(third.kill());
        assertTrue(runCommand("report", file.toString()).contains("volume demo: 32 operations"));
        byte[] intact = Files.readAllBytes(file);
        Files.write(file, java.util.Arrays.copyOf(intact, intact.length - 7));
        NbdGateway fourth = start(site, 4);
        assertTrue(Files.exists(folder.resolve("accounts.set-aside")));
        assertEquals(
                21,
                LocalCluster.await(fourth.accounts(60_000)).get("demo").operations(),
                "accounts of the earlier generation");
        LocalCluster.await(fourth.stop());
    }

    @Test
    void tracesAreExportedToFileAndReceiverAndExplained() throws Exception {
        AtomicReference<byte[]> received = new AtomicReference<>(new byte[0]);
        HttpServer receiver =
                HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 4);
        receiver.createContext(
                "/v1/traces",
                exchange -> {
                    received.set(exchange.getRequestBody().readAllBytes());
                    exchange.sendResponseHeaders(200, -1);
                    exchange.close();
                });
        receiver.start();
        Path file = folder.resolve("traces");
        NbdGateway gateway =
                start(
                        site(
                                "\n[traces]\nfile = "
                                        + file
                                        + "\notlp = http://127.0.0.1:"
                                        + receiver.getAddress().getPort()
                                        + "/v1/traces\nbudget = 100\nchance = 1\n"),
                        1);
        sendRequests(gateway, 5);
        LocalCluster.await(gateway.stop());
        receiver.stop(0);
        assertTrue(gateway.tracesRecorded() > 0);
        String explanation = runCommand("explain", file.toString(), "--volume", "demo");
        assertTrue(explanation.contains("hop 1 goes to node"), explanation);
        assertTrue(explanation.contains("worked on by the node"), explanation);
        assertTrue(explanation.contains("satisfied after"), explanation);
        assertTrue(
                new String(received.get(), StandardCharsets.ISO_8859_1).contains("demo"),
                "receiver has no spans of volume demo");
        assertEquals(3, runCommand("explain", file.toString(), "--list", "3").lines().count());
    }

    @Test
    void unreachableTraceReceiverDoesNotAffectRequests() throws Exception {
        NbdGateway gateway =
                start(
                        site(
                                "\n[traces]\notlp = http://127.0.0.1:9/v1/traces\nbudget = 100\nchance = 1\n"),
                        1);
        sendRequests(gateway, 20);
        assertEquals(21, gateway.counters().served.sum());
        LocalCluster.await(gateway.stop());
    }

    @Test
    void metricsAndViewsAreServedOverHttp() throws Exception {
        SiteConfig site = SiteConfig.read("site", site(""));
        NbdGateway gateway = LocalCluster.await(new NbdGateway(site, 1).start());
        sendRequests(gateway, 10);
        try (MonitoringServer server =
                new MonitoringServer(
                        site,
                        gateway,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))) {
            String base = "http://127.0.0.1:" + server.address().getPort();
            HttpClient client = HttpClient.newHttpClient();
            String text =
                    client.send(
                                    HttpRequest.newBuilder(URI.create(base + "/metrics")).build(),
                                    HttpResponse.BodyHandlers.ofString())
                            .body();
            assertTrue(
                    text.contains("sagepulley_operations_total{end=\"met\",volume=\"demo\"} 11.0"),
                    text);
            assertTrue(text.contains("sagepulley_spent_seconds_total{part=\"node_work\"}"), text);
            assertEquals(
                    405,
                    client.send(
                                    HttpRequest.newBuilder(URI.create(base + "/metrics"))
                                            .POST(HttpRequest.BodyPublishers.ofString("x"))
                                            .build(),
                                    HttpResponse.BodyHandlers.discarding())
                            .statusCode());
            String top = runCommand("top", "127.0.0.1:" + server.address().getPort(), "--once");
            assertTrue(top.contains("demo"), top);
            String nodes = runCommand("nodes", "127.0.0.1:" + server.address().getPort());
            assertTrue(nodes.contains("list fresh") && nodes.contains("directory reached"), nodes);
        }
        LocalCluster.await(gateway.stop());
    }

    @Test
    void endpointListIsImportedVerifiedAndExported() throws Exception {
        Path csv = folder.resolve("list.csv");
        Files.writeString(
                csv, "node,cell,zone,kind,standing,host,port\n7,3,0,0,ready,10.0.0.7,7000\n");
        String file = folder.resolve("nodes").toString();
        runCommand("list-file", "import", file, "--site", "sahil", "--csv", csv.toString());
        assertTrue(
                runCommand("list-file", "verify", file, "--site", "sahil")
                        .contains("good, 1 nodes"));
        assertTrue(runCommand("list-file", "show", file).contains("last confirmed never"));
        assertEquals(Files.readString(csv), runCommand("list-file", "export", file));
        assertEquals(3, Commands.run("list-file", "verify", file, "--site", "another"));
        Files.writeString(csv, "7,3,0,0,ready,10.0.0.7,99999\n");
        assertEquals(
                1,
                Commands.run(
                        "list-file", "import", file, "--site", "sahil", "--csv", csv.toString()));
    }
}
