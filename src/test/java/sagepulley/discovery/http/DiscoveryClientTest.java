package sagepulley.discovery.http;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import sagepulley.config.resp.GatewayConfig;
import sagepulley.engine.Clock;
import sagepulley.frontend.resp.RespGateway;
import sagepulley.lifecycle.WarmUpConfig;
import sagepulley.testing.ScriptedPeers;
import sagepulley.transport.Transport;

/**
 * Tests what the client reports for each response of discovery, and that it reports each failure
 * once.
 */
@Timeout(60)
class DiscoveryClientTest {
    private static final String CHANGE = "{\"revision\":%d,\"complete\":false,\"members\":[%s]}";
    private static final long LONG_MILLIS = 600_000;
    private final List<EndpointListUpdate> updates = new CopyOnWriteArrayList<>();
    private final List<String> failures = new CopyOnWriteArrayList<>();
    private final List<Double> confirmations = new CopyOnWriteArrayList<>();
    private final List<Double> refusals = new CopyOnWriteArrayList<>();
    private final Clock clock = new Clock();
    private EventLoop loop;

    /**
     * Address that the tested client connects to; the gateway of the peers uses another discovery.
     */
    private SocketAddress discovery;

    private DiscoveryClient openClient(ScriptedPeers peers) throws Exception {
        return openClient(peers, LONG_MILLIS, LONG_MILLIS);
    }

    private DiscoveryClient openClient(
            ScriptedPeers peers, long firstListTimeoutMillis, long idleTimeoutMillis)
            throws Exception {
        return openClient(peers, firstListTimeoutMillis, idleTimeoutMillis, 8 << 20);
    }

    private DiscoveryClient openClient(
            ScriptedPeers peers,
            long firstListTimeoutMillis,
            long idleTimeoutMillis,
            long maxListBytes)
            throws Exception {
        Transport transport = Transport.sockets();
        discovery = peers.startDiscovery();
        DiscoveryClient client =
                new DiscoveryClient(
                        transport,
                        discovery,
                        41,
                        new DiscoveryClient.Listener() {
                            @Override
                            public void onEndpointList(EndpointListUpdate update) {
                                updates.add(update);
                            }

                            @Override
                            public void onListConfirmed(double asOf) {
                                confirmations.add(asOf);
                            }

                            @Override
                            public void onDiscoveryUnreachable(double at) {
                                refusals.add(at);
                            }

                            @Override
                            public void onPollFailed(String reason) {
                                failures.add(reason);
                            }
                        },
                        maxListBytes,
                        clock::now,
                        new DiscoveryTimeouts(firstListTimeoutMillis, idleTimeoutMillis));
        loop = transport.eventLoops().next();
        loop.submit(client::openWatch).get(10, TimeUnit.SECONDS);
        return client;
    }

    @Test
    void watchReportsEachChangeAndSkipsHeartbeatsAndUnreadableEntries() throws Exception {
        try (ScriptedPeers peers =
                new ScriptedPeers(
                        (arguments, connection) -> connection.send(ScriptedPeers.VALUE_REPLY))) {
            await().until(() -> peers.watches.size() == 1);
            openClient(peers);
            await().until(() -> updates.size() == 1);
            assertTrue(
                    peers.discoveryRequests
                            .get(1)
                            .startsWith("GET /v1/endpoints?watch=1&after=41 "));
            ScriptedPeers.Connection watch = peers.watches.get(1);
            ScriptedPeers.sendChunk(watch, "");
            ScriptedPeers.sendChunk(
                    watch,
                    CHANGE.formatted(
                            43,
                            "{\"id\":\"a\",\"host_port\":\"127.0.0.1:7\",\"locality\":\"here\","
                                    + "\"flavor\":\"plain\",\"cell\":0,\"phase\":\"DRAINING\",\"size\":1,\"up_since_ms\":0},"
                                    + "{\"id\":7},{\"id\":\"b\",\"phase\":\"DELETED\"}"));
            await().until(() -> updates.size() == 2);
            assertEquals(2, updates.get(1).members().size());
            assertEquals(1, updates.get(1).unreadable().size());
            assertEquals(43, updates.get(1).revision());
            assertEquals(List.of(), failures);
            watch.socket.close();
            await().until(() -> failures.size() == 1);
        }
    }

    /** A list without end was kept in direct memory, up to 8 MiB of it for each request. */
    @Test
    void listThatDoesNotFitIntoMemoryFailsAndTheNextIsRead() throws Exception {
        try (ScriptedPeers peers =
                new ScriptedPeers(
                        (arguments, connection) -> connection.send(ScriptedPeers.VALUE_REPLY))) {
            peers.endpointList = "{\"revision\":50,\"members\":[" + "0,".repeat(20_000);
            DiscoveryClient client = openClient(peers, LONG_MILLIS, LONG_MILLIS, 30_000);
            await().until(() -> failures.size() == 1);
            peers.endpointList = CHANGE.formatted(51, "");
            loop.submit(client::openWatch).get(10, TimeUnit.SECONDS);
            await().until(() -> updates.size() == 1);
            assertEquals(51, updates.get(0).revision());
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
                "HTTP nonsense\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n{\"broken\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n{}\n\r\n0\r\n\r\n"
            })
    void failureIsReportedOnce(String response) throws Exception {
        try (ScriptedPeers peers =
                new ScriptedPeers(
                        (arguments, connection) -> connection.send(ScriptedPeers.VALUE_REPLY))) {
            peers.endpointList = response;
            openClient(peers);
            await().until(() -> !failures.isEmpty());
            peers.gateway.stopNow();
            peers.gateway.stopped().join();
            assertEquals(1, failures.size());
            assertEquals(List.of(), updates);
        }
    }

    @Test
    void requestWithoutResponseIsReportedOverdue() throws Exception {
        try (ScriptedPeers peers =
                new ScriptedPeers(
                        (arguments, connection) -> connection.send(ScriptedPeers.VALUE_REPLY))) {
            peers.endpointList = null;
            openClient(peers, 100, LONG_MILLIS);
            await().atMost(20, TimeUnit.SECONDS).until(() -> failures.size() == 1);
        }
    }

    @Test
    void watchOpensAtTheNewAddressAfterAMoveWithoutReportingAFailure() throws Exception {
        try (ScriptedPeers peers =
                new ScriptedPeers(
                        (arguments, connection) -> connection.send(ScriptedPeers.VALUE_REPLY))) {
            DiscoveryClient client = openClient(peers);
            await().until(() -> updates.size() == 1);
            var newAddress = peers.startDiscovery();
            loop.submit(
                            () -> {
                                assertTrue(client.moveTo(newAddress));
                                assertFalse(client.moveTo(newAddress), "the address is unchanged");
                                client.openWatch();
                            })
                    .get(10, TimeUnit.SECONDS);
            await().until(() -> updates.size() == 2);
            assertEquals(List.of(), failures);
        }
    }

    /**
     * The watch is idle and each new request exceeds its timeout, but its response is still
     * accepted.
     */
    @Test
    void lateResponseIsAcceptedWhileTheWatchIsIdle() throws Exception {
        try (ScriptedPeers peers =
                new ScriptedPeers(
                        (arguments, connection) -> connection.send(ScriptedPeers.VALUE_REPLY))) {
            DiscoveryClient client = openClient(peers, 300, 200);
            await().until(() -> failures.size() == 1);
            peers.endpointList = null;
            Thread.sleep(2_600);
            loop.submit(client::openWatch).get(10, TimeUnit.SECONDS);
            await().until(() -> failures.size() == 2);
            ScriptedPeers.Connection overdueRequest = last(peers.unansweredRequests);
            loop.submit(client::openWatch).get(10, TimeUnit.SECONDS);
            overdueRequest.send("HTTP/1.1 200 OK\r\n\r\n" + CHANGE.formatted(44, "") + "\n");
            await().until(() -> updates.size() == 2);
            assertEquals(44, client.revision());
        }
    }

    /** A watch that is reset was current up to its end, unless a list was incomplete. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void resetOfWatchConfirmsListUnlessOneIsIncomplete(boolean listIncomplete) throws Exception {
        try (ScriptedPeers peers =
                new ScriptedPeers(
                        (arguments, connection) -> connection.send(ScriptedPeers.VALUE_REPLY))) {
            openClient(peers);
            await().until(() -> confirmations.size() == 1);
            ScriptedPeers.Connection watch = lastWatch(peers);
            if (listIncomplete) {
                watch.send("4\r\n{\"re\r\n");
            }
            Thread.sleep(1_500);
            double resetAt = clock.now();
            watch.socket.setSoLinger(true, 0);
            watch.socket.close();
            await().until(() -> failures.size() == 1);
            assertEquals(
                    !listIncomplete,
                    confirmations.stream().anyMatch(asOf -> asOf > resetAt - 1_100));
        }
    }

    /**
     * Lists from the former address are reported, but no longer confirmed once discovery has moved.
     */
    @Test
    void formerAddressReportsListsWithoutConfirmationUntilTheNewOneResponds() throws Exception {
        try (ScriptedPeers peers =
                new ScriptedPeers(
                        (arguments, connection) -> connection.send(ScriptedPeers.VALUE_REPLY))) {
            DiscoveryClient client = openClient(peers);
            await().until(() -> updates.size() == 1);
            ScriptedPeers.Connection formerWatch = lastWatch(peers);
            peers.endpointList = null;
            var newAddress = peers.startDiscovery();
            loop.submit(
                            () -> {
                                assertTrue(client.moveTo(newAddress));
                                client.openWatch();
                            })
                    .get(10, TimeUnit.SECONDS);
            int confirmed = confirmations.size();
            ScriptedPeers.sendChunk(formerWatch, CHANGE.formatted(60, ""));
            await().until(() -> updates.size() == 2);
            assertEquals(confirmed, confirmations.size());
            await().until(
                            () ->
                                    peers.unansweredRequests.stream()
                                            .anyMatch(
                                                    connection ->
                                                            connection
                                                                    .socket
                                                                    .getLocalSocketAddress()
                                                                    .equals(newAddress)));
            ScriptedPeers.Connection newWatch =
                    peers.unansweredRequests.get(peers.unansweredRequests.size() - 1);
            newWatch.send("HTTP/1.1 200 OK\r\n\r\n" + CHANGE.formatted(61, "") + "\n");
            await().until(() -> updates.size() == 3);
            assertTrue(confirmations.size() > confirmed);
            assertEquals(-1, formerWatch.input.read(), "the former watch is still open");
            assertEquals(List.of(), failures);
        }
    }

    /** A gateway whose requests fail connects to the new address without a long delay. */
    @Test
    void newAddressIsRequestedWithoutARequestInFlight() throws Exception {
        try (ScriptedPeers peers =
                new ScriptedPeers(
                        (arguments, connection) -> connection.send(ScriptedPeers.VALUE_REPLY))) {
            await().until(() -> peers.watches.size() == 1);
            peers.endpointList = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
            peers.watches.get(0).socket.close();
            await().until(() -> peers.discoveryRequests.size() >= 2);
            peers.endpointList = "{\"revision\":7,\"complete\":false,\"members\":[]}";
            var intermediateAddress = peers.startDiscovery();
            var newAddress = peers.startDiscovery();
            peers.gateway.onConfigurationRead(
                    peers.configAt(intermediateAddress), peers.gateway.now());
            peers.gateway.onConfigurationRead(peers.configAt(newAddress), peers.gateway.now());
            await().until(
                            () ->
                                    peers.watches.stream()
                                            .anyMatch(
                                                    watch ->
                                                            watch.socket
                                                                    .getLocalSocketAddress()
                                                                    .equals(newAddress)));
        }
    }

    @Test
    void listIsParsedForAnyChunkingAndWhiteSpace() throws Exception {
        try (ScriptedPeers peers =
                new ScriptedPeers(
                        (arguments, connection) -> connection.send(ScriptedPeers.VALUE_REPLY))) {
            openClient(peers);
            await().until(() -> updates.size() == 1);
            ScriptedPeers.Connection watch = lastWatch(peers);
            String indented =
                    "\n{\n  \"revision\": 50,\r\n\n  \"complete\": false,\n  \"members\": [\n"
                            + "    {\n      \"id\": \"br}ace\\\"{\",\n      \"phase\": \"DELETED\"\n    }\n  ]\n}\n\n";
            for (char character : indented.toCharArray()) {
                watch.send("1\r\n" + character + "\r\n");
            }
            await().until(() -> updates.size() == 2);
            assertEquals(50, updates.get(1).revision());
            assertEquals("br}ace\"{", updates.get(1).members().get(0).id());
            String two = CHANGE.formatted(51, "") + CHANGE.formatted(52, "") + "\n";
            watch.send(Integer.toHexString(two.length()) + "\r\n" + two + "\r\n");
            await().until(() -> updates.size() == 4);
            assertEquals(List.of(), failures);
        }
    }

    /** Covers HTTP responses without a length and after an informational response. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "HTTP/1.1 100 Continue\r\n\r\n",
                "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
            })
    void responseWithoutLengthOrAfterAnInformationalOneIsRead(String prefix) throws Exception {
        try (ScriptedPeers peers =
                new ScriptedPeers(
                        (arguments, connection) -> connection.send(ScriptedPeers.VALUE_REPLY))) {
            peers.endpointList = null;
            openClient(peers);
            await().until(() -> hasUnansweredRequest(peers));
            String response =
                    prefix
                            + "HTTP/1.1 200 OK\r\nX-Any: 1\r\n\r\n"
                            + CHANGE.formatted(44, "")
                            + "\n";
            for (char character : response.toCharArray()) {
                last(peers.unansweredRequests).send(String.valueOf(character));
            }
            await().until(() -> updates.size() == 1);
            assertEquals(List.of(), failures);
        }
    }

    @Test
    void partialListBytesDoNotCountAsHeartbeats() throws Exception {
        try (ScriptedPeers peers =
                new ScriptedPeers(
                        (arguments, connection) -> connection.send(ScriptedPeers.VALUE_REPLY))) {
            openClient(peers, LONG_MILLIS, 500);
            await().until(() -> updates.size() == 1);
            ScriptedPeers.Connection watch = lastWatch(peers);
            watch.send("1\r\n{\r\n");
            // Continues until the failure is reported, which heartbeats would prevent.
            while (failures.isEmpty()) {
                try {
                    watch.send("1\r\n\n\r\n");
                } catch (IOException closed) {
                    break;
                }
                Thread.sleep(50);
            }
            await().until(() -> failures.size() == 1);
        }
    }

    /** The compact list takes less than 1 MiB, the indented one more. */
    @ParameterizedTest
    @ValueSource(strings = {"", "\n                              "})
    void listOf3200EndpointsIsAcceptedCompactAndIndented(String indent) throws Exception {
        StringBuilder members = new StringBuilder();
        for (int i = 0; i < 3_200; i++) {
            members.append(i == 0 ? "" : ",")
                    .append(
                            "{%s\"id\":\"s-%08x\",%s\"host_port\":\"10.1.%d.%d:6379\","
                                    .formatted(indent, i, indent, i / 256, i % 256))
                    .append(
                            ("%s\"locality\":\"a\",%s\"flavor\":\"m2\",%s\"cell\":%d,"
                                            + "%s\"phase\":\"SERVING\",%s\"size\":1.0,%s\"up_since_ms\":0}")
                                    .formatted(indent, indent, indent, i, indent, indent, indent));
        }
        try (ScriptedPeers peers =
                new ScriptedPeers(
                        (arguments, connection) -> connection.send(ScriptedPeers.VALUE_REPLY))) {
            peers.endpointList =
                    "{\"revision\":44,\"complete\":true,\"members\":[" + members + "]}";
            assertEquals(
                    indent.isEmpty(),
                    peers.endpointList.length() < 1 << 20,
                    "expected only the compact list to be below 1 MiB, bytes: "
                            + peers.endpointList.length());
            openClient(peers);
            await().until(() -> updates.size() == 1);
            assertEquals(3_200, updates.get(0).members().size());
            assertEquals(List.of(), failures);
        }
    }

    /**
     * A list is current as of its start, however long its transfer takes, and its line end confirms
     * nothing later.
     */
    @Test
    void slowListIsConfirmedAsOfItsStart() throws Exception {
        try (ScriptedPeers peers =
                new ScriptedPeers(
                        (arguments, connection) -> connection.send(ScriptedPeers.VALUE_REPLY))) {
            peers.endpointList = null;
            openClient(peers);
            await().until(() -> hasUnansweredRequest(peers));
            double requestedAt = clock.now();
            ScriptedPeers.Connection connection = last(peers.unansweredRequests);
            sendInTwoParts(connection, "HTTP/1.1 200 OK\r\n\r\n", CHANGE.formatted(44, "") + "\n");
            await().until(() -> updates.size() == 1);
            Thread.sleep(100);
            assertTrue(
                    confirmations.stream().allMatch(asOf -> asOf <= requestedAt),
                    "expected confirmations as of the request at the latest: " + confirmations);
            double listStartedAt = clock.now();
            sendInTwoParts(connection, "", CHANGE.formatted(45, "") + "\n\n");
            await().until(() -> updates.size() == 2);
            assertTrue(
                    confirmations.stream().allMatch(asOf -> asOf <= listStartedAt + 100),
                    "expected confirmations as of the start of the list at the latest: "
                            + confirmations);
            Thread.sleep(700);
            double idleAt = clock.now();
            connection.send("\n");
            await().until(() -> confirmations.stream().anyMatch(asOf -> asOf > idleAt - 1_100));
        }
    }

    /** Sends half of a list and, after a pause, the rest, with its line end as a separate write. */
    private static void sendInTwoParts(
            ScriptedPeers.Connection connection, String head, String list) throws Exception {
        int middle = list.length() / 2;
        int end = list.lastIndexOf('}') + 1;
        connection.send(head + list.substring(0, middle));
        Thread.sleep(1_500);
        connection.send(list.substring(middle, end));
        Thread.sleep(50);
        connection.send(list.substring(end));
    }

    @Test
    void olderListIsNotReportedUnlessDiscoveryRestarted() throws Exception {
        try (ScriptedPeers peers =
                new ScriptedPeers(
                        (arguments, connection) -> connection.send(ScriptedPeers.VALUE_REPLY))) {
            DiscoveryClient client = openClient(peers);
            await().until(() -> updates.size() == 1);
            ScriptedPeers.sendChunk(lastWatch(peers), CHANGE.formatted(60, ""));
            ScriptedPeers.sendChunk(lastWatch(peers), CHANGE.formatted(59, ""));
            ScriptedPeers.sendChunk(lastWatch(peers), CHANGE.formatted(61, ""));
            await().until(() -> updates.size() >= 3);
            assertEquals(
                    List.of(2L, 60L, 61L),
                    updates.stream().map(EndpointListUpdate::revision).toList());
            peers.endpointList = "{\"revision\":5,\"complete\":true,\"members\":[]}";
            loop.submit(client::openWatch).get(10, TimeUnit.SECONDS);
            await().until(() -> updates.size() == 4);
            ScriptedPeers.sendChunk(lastWatch(peers), CHANGE.formatted(6, ""));
            await().until(() -> updates.size() == 5);
            assertEquals(List.of(), failures);
        }
    }

    /** The response of a poll arrives after a newer list on the watch. */
    @Test
    void pollResultOlderThanTheWatchIsNotReported() throws Exception {
        try (ScriptedPeers peers =
                new ScriptedPeers(
                        (arguments, connection) -> connection.send(ScriptedPeers.VALUE_REPLY))) {
            DiscoveryClient client = openClient(peers);
            await().until(() -> updates.size() == 1);
            ScriptedPeers.Connection watch = lastWatch(peers);
            peers.endpointList = null;
            loop.submit(client::poll).get(10, TimeUnit.SECONDS);
            await().until(() -> hasUnansweredRequest(peers));
            ScriptedPeers.sendChunk(watch, CHANGE.formatted(70, ""));
            await().until(() -> updates.size() == 2);
            ScriptedPeers.Connection pollConnection = last(peers.unansweredRequests);
            String completeList = "{\"revision\":8,\"complete\":true,\"members\":[]}";
            pollConnection.send(
                    "HTTP/1.1 200 OK\r\nContent-Length: "
                            + completeList.length()
                            + "\r\n\r\n"
                            + completeList);
            assertEquals(-1, pollConnection.input.read(), "the request is still open");
            ScriptedPeers.sendChunk(watch, CHANGE.formatted(71, ""));
            await().until(() -> updates.size() == 3);
            assertEquals(71, client.revision());
            assertEquals(71, updates.get(2).revision());
        }
    }

    @Test
    void resetInsideAResponseWithoutLengthIsAFailure() throws Exception {
        try (ScriptedPeers peers =
                new ScriptedPeers(
                        (arguments, connection) -> connection.send(ScriptedPeers.VALUE_REPLY))) {
            DiscoveryClient client = openClient(peers);
            await().until(() -> updates.size() == 1);
            peers.endpointList = null;
            loop.submit(client::poll).get(10, TimeUnit.SECONDS);
            await().until(() -> hasUnansweredRequest(peers));
            ScriptedPeers.Connection connection = last(peers.unansweredRequests);
            connection.send(
                    "HTTP/1.1 200 OK\r\n\r\n{\"revision\":90,\"complete\":true,\"members\":[");
            connection.socket.setSoLinger(true, 0);
            connection.socket.close();
            await().until(() -> failures.size() == 1);
            assertEquals(1, updates.size());
        }
    }

    /**
     * A new gateway must know the changes that already count as notified, so it accepts clients
     * only after the first list or a timeout, in either discovery mode.
     */
    @ParameterizedTest
    @ValueSource(strings = {"subscribe", "automatic"})
    void gatewayListensOnlyAfterTheFirstList(String discoveryMode) throws Exception {
        Transport transport = Transport.sockets();
        try (ServerSocket discoveryServer =
                new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            GatewayConfig config =
                    GatewayConfig.parse(
                                    JsonReader.readObject(
                                            WarmUpConfig.text()
                                                    .replace(
                                                            "\"subscribe\"",
                                                            "\"" + discoveryMode + "\"")
                                                    .getBytes(StandardCharsets.UTF_8)),
                                    Map.of())
                            .withAddresses(
                                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                                    discoveryServer.getLocalSocketAddress(),
                                    discoveryServer.getLocalSocketAddress());
            RespGateway gateway = new RespGateway(config, transport);
            gateway.connectToDiscovery();
            CompletableFuture<SocketAddress> ready = gateway.start();
            ScriptedPeers.Connection request =
                    new ScriptedPeers.Connection(discoveryServer.accept());
            assertTrue(request.readLine().contains("watch=1"));
            assertFalse(ready.isDone());
            request.send("HTTP/1.1 200 OK\r\n\r\n" + CHANGE.formatted(44, "") + "\n");
            new Socket().connect(ready.get());
            gateway.stopNow();
            gateway.stopped().join();
        } finally {
            transport.eventLoops().shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
        }
    }

    @Test
    void automaticDiscoveryOpensAWatchBeforeServing() throws Exception {
        try (ScriptedPeers peers =
                new ScriptedPeers(
                        (arguments, connection) -> connection.send(ScriptedPeers.VALUE_REPLY),
                        text ->
                                text.replace(
                                        "\"discovery\": \"subscribe\"",
                                        "\"discovery\": \"automatic\""))) {
            assertEquals(1, peers.discoveryRequests.size());
            assertTrue(peers.discoveryRequests.get(0).contains("watch=1"));
        }
    }

    private ScriptedPeers.Connection lastWatch(ScriptedPeers peers) {
        return last(peers.watches);
    }

    /** Returns the connection that the tested client opened last. */
    private ScriptedPeers.Connection last(List<ScriptedPeers.Connection> connections) {
        List<ScriptedPeers.Connection> matching =
                connections.stream()
                        .filter(
                                connection ->
                                        connection.socket.getLocalSocketAddress().equals(discovery))
                        .toList();
        return matching.get(matching.size() - 1);
    }

    private boolean hasUnansweredRequest(ScriptedPeers peers) {
        return peers.unansweredRequests.stream()
                .anyMatch(
                        connection -> connection.socket.getLocalSocketAddress().equals(discovery));
    }
}
