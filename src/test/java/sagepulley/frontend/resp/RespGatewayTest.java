package sagepulley.frontend.resp;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import sagepulley.codec.resp.NumberParser;
import sagepulley.lifecycle.WarmUpConfig;
import sagepulley.model.Node;
import sagepulley.testing.KernelTcpTable;
import sagepulley.testing.ScriptedPeers;
import sagepulley.transport.Transport;

/**
 * Tests requests over sockets between a client, the gateway, a scripted endpoint and a scripted
 * discovery.
 */
@Timeout(60)
class RespGatewayTest {
    private static final ScriptedPeers.Script SERVING_ENDPOINT =
            (arguments, connection) -> connection.send(ScriptedPeers.VALUE_REPLY);

    @Test
    void readsAndWritesAreForwardedWithOnlyTheDeadlineChanged() throws Exception {
        try (ScriptedPeers peers = new ScriptedPeers(SERVING_ENDPOINT)) {
            ScriptedPeers.Connection client = peers.connectClient();
            client.sendCommand("PING");
            assertEquals("+PONG", client.readReply());
            client.sendCommand(ScriptedPeers.readCommand(1));
            assertEquals("$5 value", client.readReply());
            client.sendCommand(
                    "BLK.WRITE",
                    NumberParser.formatId(7),
                    NumberParser.formatId(2),
                    ScriptedPeers.fields("put", 9000, -1) + ",k=9",
                    "bytes");
            assertEquals("$5 value", client.readReply());
            assertEquals("BLK.READ", peers.commands.get(0).get(0));
            String forwardedFields = peers.commands.get(1).get(3);
            assertEquals(
                    ScriptedPeers.fields("put", 9000, -1).replaceAll(",d=\\d+", "") + ",k=9",
                    forwardedFields.replaceAll(",d=\\d+", ""));
            int forwardedDeadline =
                    Integer.parseInt(forwardedFields.replaceAll(".*,d=(\\d+),.*", "$1"));
            assertTrue(
                    forwardedDeadline > 0 && forwardedDeadline < 9000,
                    "expected a forwarded deadline of 1 to 8999 ms, got " + forwardedDeadline);
            assertEquals("bytes", peers.commands.get(1).get(4));
        }
    }

    @Test
    void repliesAreSentInCommandOrder() throws Exception {
        CountDownLatch secondReplied = new CountDownLatch(1);
        try (ScriptedPeers peers =
                new ScriptedPeers(
                        (arguments, connection) -> {
                            if (arguments.get(2).equals(NumberParser.formatId(1))) {
                                awaitLatch(secondReplied);
                            }
                            connection.send(
                                    "*3\r\n$16\r\n" + arguments.get(2) + "\r\n$-1\r\n$-1\r\n");
                            if (arguments.get(2).equals(NumberParser.formatId(2))) {
                                secondReplied.countDown();
                            }
                        })) {
            ScriptedPeers.Connection client = peers.connectClient();
            client.send(
                    ScriptedPeers.command(ScriptedPeers.readCommand(1))
                            + ScriptedPeers.command(ScriptedPeers.readCommand(2))
                            + ScriptedPeers.command("PING"));
            assertEquals("$16 " + NumberParser.formatId(1), client.readReply());
            assertEquals("$16 " + NumberParser.formatId(2), client.readReply());
            assertEquals("+PONG", client.readReply());
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "c=none,t=any,d=900,volume=0000000000000003,units=2,shard=0,hosts=1",
                "c=get,t=none,d=900,volume=0000000000000003,units=2,shard=0,hosts=1",
                "c=get,t=any,d=soon,volume=0000000000000003,units=2,shard=0,hosts=1",
                "c=get,t=any,d=-9,volume=0000000000000003,units=2,shard=0,hosts=1",
                "c=get,t=any,d=9,d=9,volume=0000000000000003,units=2,shard=0,hosts=1",
                "c=get,t=any,d=900,volume=3,units=2,shard=0,hosts=1",
                "c=get,t=any,d=900,volume=0000000000000003,units=NaN,shard=0,hosts=1",
                "c=get,t=any,d=900,volume=0000000000000003,units=2,shard=99,hosts=1",
                "c=put,t=any,d=900,volume=0000000000000003,units=2,shard=0,hosts=1",
                "c=get",
                "",
                "c=get,,t=any"
            })
    void invalidCommandGetsAnErrorAndIsNotForwarded(String fields) throws Exception {
        try (ScriptedPeers peers = new ScriptedPeers(SERVING_ENDPOINT)) {
            ScriptedPeers.Connection client = peers.connectClient();
            client.sendCommand(
                    "BLK.READ", NumberParser.formatId(7), NumberParser.formatId(1), fields);
            assertTrue(client.readReply().startsWith("-ERR"));
            client.sendCommand(
                    "BLK.READ",
                    NumberParser.formatId(7),
                    "no id",
                    ScriptedPeers.fields("get", 900, 0));
            assertTrue(client.readReply().startsWith("-ERR"));
            client.sendCommand("BLK.READ", NumberParser.formatId(7), NumberParser.formatId(1));
            assertTrue(client.readReply().startsWith("-ERR"));
            client.sendCommand("FLUSHALL");
            assertTrue(client.readReply().startsWith("-ERR"));
            client.sendCommand(ScriptedPeers.readCommand(5));
            assertEquals("$5 value", client.readReply(), "the connection stays open");
            assertEquals(1, peers.commands.size());
        }
    }

    @Test
    void malformedInputClosesOnlyItsOwnConnection() throws Exception {
        try (ScriptedPeers peers = new ScriptedPeers(SERVING_ENDPOINT)) {
            ScriptedPeers.Connection otherClient = peers.connectClient();
            for (String malformedInput :
                    new String[] {
                        "GET / HTTP/1.1\r\n",
                        "*1\r\n$-7\r\n",
                        "*5\r\n$62914560\r\n",
                        "*1\r\n$4\r\nPINGPING"
                    }) {
                ScriptedPeers.Connection client = peers.connectClient();
                client.send(malformedInput);
                assertTrue(client.readReply().startsWith("-ERR protocol error"));
                assertNull(client.readReply(), "closed");
            }
            otherClient.sendCommand(ScriptedPeers.readCommand(5));
            assertEquals("$5 value", otherClient.readReply());
        }
    }

    @Test
    void idInFlightIsRejectedAndTheFirstRequestIsServed() throws Exception {
        CountDownLatch releaseEndpoint = new CountDownLatch(1);
        try (ScriptedPeers peers =
                new ScriptedPeers(
                        (arguments, connection) -> {
                            awaitLatch(releaseEndpoint);
                            connection.send(ScriptedPeers.VALUE_REPLY);
                        })) {
            ScriptedPeers.Connection firstClient = peers.connectClient();
            firstClient.sendCommand(ScriptedPeers.readCommand(1));
            await().until(() -> peers.commands.size() == 1);
            ScriptedPeers.Connection secondClient = peers.connectClient();
            secondClient.sendCommand(ScriptedPeers.readCommand(1));
            assertTrue(secondClient.readReply().startsWith("-ERR"));
            releaseEndpoint.countDown();
            assertEquals("$5 value", firstClient.readReply());
            assertEquals(1, peers.commands.size());
        }
    }

    @Test
    void connectionWithoutACompleteCommandIsClosedAndOthersStayOpen() throws Exception {
        try (ScriptedPeers peers = new ScriptedPeers(SERVING_ENDPOINT)) {
            ScriptedPeers.Connection activeClient = peers.connectClient();
            activeClient.sendCommand(ScriptedPeers.readCommand(1));
            assertEquals("$5 value", activeClient.readReply());
            ScriptedPeers.Connection idleClient = peers.connectClient();
            ScriptedPeers.Connection partialCommandClient = peers.connectClient();
            partialCommandClient.send("*4\r\n$8\r\nBLK.RE");
            assertNull(idleClient.readReply());
            assertNull(partialCommandClient.readReply());
            activeClient.sendCommand(ScriptedPeers.readCommand(2));
            assertEquals("$5 value", activeClient.readReply());
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "*3\r\n$3221225472\r\nxxxx",
                "*3\r\n$65537\r\nvalue",
                "*3\r\n$9\r\nvalue\r\n$-1\r\n",
                "noise\r\n",
                "+OK\r\n",
                "*3\r\n$-1\r\n$-1\r\n$-1\r\n",
                "*2\r\n$5\r\nvalue\r\n$-1\r\n",
                "*3\r\n$2\r\nvalue\r\n",
                ":7\r\n"
            })
    void invalidReplyIsNeverServedAndItsConnectionNeverReused(String invalidReply)
            throws Exception {
        AtomicInteger commandCount = new AtomicInteger();
        try (ScriptedPeers peers =
                new ScriptedPeers(
                        (arguments, connection) ->
                                connection.send(
                                        commandCount.getAndIncrement() == 0
                                                ? invalidReply
                                                : ScriptedPeers.VALUE_REPLY))) {
            ScriptedPeers.Connection client = peers.connectClient();
            client.sendCommand(ScriptedPeers.readCommand(1));
            assertEquals("$5 value", client.readReply(), "served by a second attempt");
            assertEquals(2, peers.commands.size());
        }
    }

    @Test
    void stalledReplyIsNotAwaitedUntilTheDeadline() throws Exception {
        AtomicInteger commandCount = new AtomicInteger();
        try (ScriptedPeers peers =
                new ScriptedPeers(
                        (arguments, connection) ->
                                connection.send(
                                        commandCount.getAndIncrement() == 0
                                                ? ScriptedPeers.VALUE_REPLY.substring(0, 9)
                                                : ScriptedPeers.VALUE_REPLY))) {
            ScriptedPeers.Connection client = peers.connectClient();
            client.sendCommand(ScriptedPeers.readCommand(1));
            assertEquals("$5 value", client.readReply());
            assertEquals(2, peers.commands.size());
        }
    }

    @Test
    void duplicateReplyIsNotUsedForTheNextRequest() throws Exception {
        try (ScriptedPeers peers =
                new ScriptedPeers(
                        (arguments, connection) -> {
                            String reply =
                                    "*3\r\n$16\r\n" + arguments.get(2) + "\r\n$-1\r\n$-1\r\n";
                            connection.send(reply + reply);
                        })) {
            ScriptedPeers.Connection client = peers.connectClient();
            for (long id = 1; id <= 20; id++) {
                client.sendCommand(ScriptedPeers.readCommand(id));
                assertEquals("$16 " + NumberParser.formatId(id), client.readReply());
            }
        }
    }

    @Test
    void replyWithInvalidUsageFieldsIsServed() throws Exception {
        try (ScriptedPeers peers =
                new ScriptedPeers(
                        (arguments, connection) ->
                                connection.send(
                                        "*3\r\n$5\r\nvalue\r\n$12\r\ncost=,used=x\r\n$3\r\n???\r\n"))) {
            ScriptedPeers.Connection client = peers.connectClient();
            client.sendCommand(ScriptedPeers.readCommand(1));
            assertEquals("$5 value", client.readReply());
        }
    }

    @Test
    void attemptIsCancelledWhenItsClientDisconnects() throws Exception {
        CountDownLatch endpointConnectionClosed = new CountDownLatch(1);
        try (ScriptedPeers peers =
                new ScriptedPeers(
                        (arguments, connection) -> {
                            if (connection.readLine() == null) {
                                endpointConnectionClosed.countDown();
                            }
                        })) {
            ScriptedPeers.Connection client = peers.connectClient();
            client.sendCommand(ScriptedPeers.readCommand(1));
            await().until(() -> peers.commands.size() == 1);
            client.socket.close();
            endpointConnectionClosed.await();
        }
    }

    /**
     * The command and the FIN are both unread in the kernel, and an idle endpoint connection is
     * open.
     */
    @Test
    void commandOfADisconnectedClientIsNotForwarded() throws Exception {
        try (ScriptedPeers peers = new ScriptedPeers(SERVING_ENDPOINT)) {
            ScriptedPeers.Connection otherClient = peers.connectClient();
            otherClient.sendCommand(ScriptedPeers.readCommand(1));
            assertEquals("$5 value", otherClient.readReply());
            for (int id = 10; id < 20; id++) {
                ScriptedPeers.Connection disconnected = peers.connectClient();
                CountDownLatch loopBlocked = new CountDownLatch(1);
                CountDownLatch releaseLoop = new CountDownLatch(1);
                peers.transport
                        .eventLoops()
                        .next()
                        .execute(
                                () -> {
                                    loopBlocked.countDown();
                                    try {
                                        releaseLoop.await();
                                    } catch (InterruptedException e) {
                                        throw new IllegalStateException(e);
                                    }
                                });
                loopBlocked.await();
                int port = disconnected.socket.getLocalPort();
                disconnected.sendCommand(ScriptedPeers.readCommand(id));
                disconnected.socket.close();
                KernelTcpTable.awaitFin(disconnected.socket.getPort(), port);
                releaseLoop.countDown();
            }
            otherClient.sendCommand(ScriptedPeers.readCommand(2));
            assertEquals("$5 value", otherClient.readReply());
            assertEquals(
                    List.of(NumberParser.formatId(1), NumberParser.formatId(2)),
                    peers.commands.stream().map(arguments -> arguments.get(2)).toList());
        }
    }

    /** Guards against an id that runs twice when it comes again after its client has left. */
    @Test
    void idOfAnUnrepeatableOperationIsForwardedOnce() throws Exception {
        CountDownLatch forwarded = new CountDownLatch(1);
        try (ScriptedPeers peers =
                new ScriptedPeers(
                        (arguments, connection) -> forwarded.countDown(),
                        text ->
                                text.replace(
                                        "\"put\", \"effect\": \"retryable\"",
                                        "\"put\", \"effect\": \"fragile\""))) {
            String id = NumberParser.formatId(1);
            String[] write = {"BLK.WRITE", id, id, ScriptedPeers.fields("put", 2_000, 0), "bytes"};
            ScriptedPeers.Connection leaving = peers.connectClient();
            leaving.sendCommand(write);
            forwarded.await();
            leaving.socket.close();
            ScriptedPeers.Connection again = peers.connectClient();
            String reply;
            do {
                again.sendCommand(write);
                reply = again.readReply();
            } while (reply.contains("already in flight"));
            assertTrue(reply.contains("was forwarded before"), reply);
            assertEquals(1, peers.commands.size());
        }
    }

    @Test
    void gatewayStoppedBeforeItIsReadyNeverListens() throws Exception {
        Transport transport = Transport.sockets();
        try {
            int port = WarmUpConfig.freePort();
            InetSocketAddress unusedAddress =
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
            InetSocketAddress listenAddress =
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
            RespGateway gateway =
                    new RespGateway(
                            WarmUpConfig.at(listenAddress, unusedAddress, unusedAddress),
                            transport);
            gateway.stop();
            gateway.connectToDiscovery();
            gateway.start().join();
            gateway.stopped().join();
            assertThrows(ConnectException.class, () -> new Socket().connect(listenAddress));
        } finally {
            transport.eventLoops().shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Sends health checks directly, because the scheduler requests none yet; no reply may affect
     * other requests.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "+PONG\r\n",
                "-ERR busy\r\n",
                "$9\r\nmean_ms=7\r\n",
                "$-1\r\n",
                "$3\r\n???\r\n",
                "noise\r\n"
            })
    void healthCheckCommandFollowsSettingsAndItsReplyIsNotUsedForARequest(String reply)
            throws Exception {
        for (String fields : List.of("[]", "[\"mean_ms\"]")) {
            try (ScriptedPeers peers =
                    new ScriptedPeers(
                            (arguments, connection) ->
                                    connection.send(
                                            arguments.get(0).startsWith("BLK")
                                                    ? ScriptedPeers.VALUE_REPLY
                                                    : reply),
                            text ->
                                    text.replace(
                                            "\"how\": \"silent\", \"fields\": []",
                                            "\"how\": \"pull\", \"fields\": " + fields))) {
                peers.transport
                        .eventLoops()
                        .next()
                        .submit(() -> peers.gateway.checkHealth(new Node(1)))
                        .get();
                await().until(() -> peers.commands.size() == 1);
                assertEquals(
                        fields.equals("[]") ? List.of("PING") : List.of("INFO", "load"),
                        peers.commands.get(0));
                ScriptedPeers.Connection client = peers.connectClient();
                client.sendCommand(ScriptedPeers.readCommand(1));
                assertEquals("$5 value", client.readReply());
            }
        }
    }

    @Test
    void operationIsRetriedWhenTheEndpointClosesMidway() throws Exception {
        AtomicInteger commandCount = new AtomicInteger();
        try (ScriptedPeers peers =
                new ScriptedPeers(
                        (arguments, connection) -> {
                            if (commandCount.getAndIncrement() == 0) {
                                connection.socket.close();
                            } else {
                                connection.send(ScriptedPeers.VALUE_REPLY);
                            }
                        })) {
            ScriptedPeers.Connection client = peers.connectClient();
            client.sendCommand(ScriptedPeers.readCommand(1));
            assertEquals("$5 value", client.readReply());
        }
    }

    @Test
    void clientsAreServedOnOpenConnectionsAfterStop() throws Exception {
        try (ScriptedPeers peers = new ScriptedPeers(SERVING_ENDPOINT)) {
            ScriptedPeers.Connection client = peers.connectClient();
            client.sendCommand(ScriptedPeers.readCommand(1));
            assertEquals("$5 value", client.readReply());
            peers.gateway.stop();
            client.sendCommand(ScriptedPeers.readCommand(2));
            assertEquals("$5 value", client.readReply());
            assertNull(client.readReply(), "closed at the end of the shutdown");
            peers.gateway.stopped().join();
        }
    }

    @Test
    void idleConnectionsAreClosedForActiveClients() throws Exception {
        try (ScriptedPeers peers = new ScriptedPeers(SERVING_ENDPOINT)) {
            // The configuration allows 256 file descriptors in total.
            for (int i = 0; i < 400; i++) {
                peers.connectClient();
            }
            await().until(
                            () -> {
                                ScriptedPeers.Connection client = peers.connectClient();
                                try {
                                    client.sendCommand(ScriptedPeers.readCommand(1));
                                    return "$5 value".equals(client.readReply());
                                } catch (IOException rejected) {
                                    return false;
                                }
                            });
        }
    }

    @Test
    void oversizedCommandClosesOnlyItsOwnConnection() throws Exception {
        try (ScriptedPeers peers = new ScriptedPeers(SERVING_ENDPOINT)) {
            ScriptedPeers.Connection otherClient = peers.connectClient();
            ScriptedPeers.Connection oversizedClient = peers.connectClient();
            byte[] chunk = new byte[1 << 20];
            try {
                oversizedClient.send(
                        "*5\r\n$9\r\nBLK.WRITE\r\n$16\r\n"
                                + NumberParser.formatId(7)
                                + "\r\n$16\r\n"
                                + NumberParser.formatId(1)
                                + "\r\n$1\r\nx\r\n$62914560\r\n");
                for (int i = 0; i < 60; i++) {
                    oversizedClient.socket.getOutputStream().write(chunk);
                }
                while (oversizedClient.input.read() >= 0) {
                    continue;
                }
            } catch (IOException closed) {
                // Unread bytes turn the close into a reset.
            }
            otherClient.sendCommand(ScriptedPeers.readCommand(5));
            assertEquals("$5 value", otherClient.readReply());
            assertEquals(1, peers.commands.size());
        }
    }

    @Test
    void clientThatReadsNothingIsPausedAndThenClosed() throws Exception {
        String value = "*3\r\n$60000\r\n" + "v".repeat(60_000) + "\r\n$-1\r\n$-1\r\n";
        try (ScriptedPeers peers =
                new ScriptedPeers((arguments, connection) -> connection.send(value))) {
            ScriptedPeers.Connection nonReadingClient = peers.connectClient();
            int commandCount = 0;
            try {
                while (true) {
                    nonReadingClient.sendCommand(ScriptedPeers.readCommand(++commandCount));
                    if (commandCount % 64 == 0) {
                        nonReadingClient.socket.getOutputStream().flush();
                    }
                }
            } catch (IOException closed) {
                // The gateway closes the connection after the write timeout.
            }
            assertTrue(
                    peers.commands.size() < commandCount,
                    peers.commands.size()
                            + " commands forwarded, expected fewer than "
                            + commandCount);
            ScriptedPeers.Connection otherClient = peers.connectClient();
            otherClient.sendCommand(ScriptedPeers.readCommand(Long.MAX_VALUE));
            assertTrue(otherClient.readReply().startsWith("$60000 "));
        }
    }

    private static void awaitLatch(CountDownLatch latch) throws IOException {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }
}
