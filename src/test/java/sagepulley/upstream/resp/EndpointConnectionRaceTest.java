package sagepulley.upstream.resp;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.epoll.EpollSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketAddress;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import sagepulley.codec.resp.Resp;
import sagepulley.engine.Clock;
import sagepulley.model.Attempt;
import sagepulley.model.Outcome;
import sagepulley.testing.KernelTcpTable;
import sagepulley.testing.ScriptedPeers;
import sagepulley.transport.Transport;

/**
 * Guards against lost, duplicated or mixed-up replies when an endpoint connection closes, opens
 * late or receives unexpected bytes. The test blocks the event loop to force each order of events.
 */
@Timeout(60)
class EndpointConnectionRaceTest {
    private static final double LONG_MILLIS = 600_000;
    private static final int LOOP_HOLD_MILLIS = 300;

    private final Transport transport = Transport.sockets();
    private final EventLoop loop = transport.eventLoops().next();
    private final BlockingQueue<ScriptedPeers.Connection> accepted = new LinkedBlockingQueue<>();
    private final EndpointConnectionPool pool =
            new EndpointConnectionPool(
                    transport,
                    100,
                    5_000,
                    LONG_MILLIS,
                    LONG_MILLIS,
                    Long.MAX_VALUE,
                    new Clock()::now);
    private ServerSocket server;
    private SocketAddress address;

    private record Result(Outcome outcome, String value) {}

    @BeforeEach
    void listen() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        address = server.getLocalSocketAddress();
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                while (true) {
                                    Socket socket = server.accept();
                                    try {
                                        accepted.add(new ScriptedPeers.Connection(socket));
                                    } catch (SocketException reset) {
                                        continue; // reset before any data arrived
                                    }
                                }
                            } catch (IOException closed) {
                                // The test has ended.
                            }
                        },
                        "node");
        thread.setDaemon(true);
        thread.start();
    }

    @AfterEach
    void close() throws IOException {
        server.close();
        transport.eventLoops().shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    /** Sends a request, on the event loop. The command carries the remaining time. */
    private CompletableFuture<Result> sendRequest(Attempt attempt, double timeoutMillis) {
        CompletableFuture<Result> result = new CompletableFuture<>();
        pool.send(
                attempt,
                address,
                remainingMillis ->
                        List.of(
                                Long.toString((long) remainingMillis)
                                        .getBytes(StandardCharsets.US_ASCII)),
                timeoutMillis,
                (outcome, reply, receivedAt) ->
                        result.complete(
                                new Result(
                                        outcome,
                                        reply == null
                                                ? null
                                                : new String(
                                                        ((Resp.Bulk)
                                                                        ((Resp.Array) reply)
                                                                                .items()
                                                                                .get(0))
                                                                .bytes(),
                                                        StandardCharsets.US_ASCII))));
        return result;
    }

    private CompletableFuture<Result> sendRequest() throws Exception {
        return loop.submit(() -> sendRequest(attempt(), LONG_MILLIS)).get();
    }

    private static Attempt attempt() {
        return new Attempt(null, null, 0, 0);
    }

    private static void serve(ScriptedPeers.Connection connection, String value)
            throws IOException {
        connection.send("*3\r\n$" + value.length() + "\r\n" + value + "\r\n$-1\r\n$-1\r\n");
    }

    private static void holdLoop() {
        try {
            Thread.sleep(LOOP_HOLD_MILLIS);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void unreadDuplicateReplyIsNotUsedForTheNextRequest() throws Exception {
        assertServedOnAnotherConnectionAfter(
                connection -> {
                    serve(connection, "stale");
                    KernelTcpTable.awaitUnread(
                            connection.socket.getPort(), connection.socket.getLocalPort());
                });
    }

    @Test
    void connectionClosedByTheEndpointIsNotReused() throws Exception {
        assertServedOnAnotherConnectionAfter(
                connection -> {
                    int port = connection.socket.getPort();
                    connection.socket.close();
                    KernelTcpTable.awaitFin(port, server.getLocalPort());
                });
    }

    @Test
    void connectionResetByTheEndpointIsNotReused() throws Exception {
        assertServedOnAnotherConnectionAfter(
                connection -> {
                    int port = connection.socket.getPort();
                    connection.socket.setSoLinger(true, 0);
                    connection.socket.close();
                    KernelTcpTable.awaitClosed(port, server.getLocalPort());
                });
    }

    private interface Step {
        void run(ScriptedPeers.Connection connection) throws IOException;
    }

    /**
     * Checks that the second request is unaffected by what the step does to the idle connection.
     */
    private void assertServedOnAnotherConnectionAfter(Step step) throws Exception {
        CompletableFuture<Result> second = sendSecondRequestAfter(new ArrayList<>(), step);
        ScriptedPeers.Connection newConnection = accepted.take();
        newConnection.readCommand();
        serve(newConnection, "two");
        assertEquals(new Result(Outcome.SERVED, "two"), second.get());
    }

    /**
     * Serves one request, so that its connection is idle, and adds that connection to the list.
     * Then runs the step and sends a second request, before the loop polls again.
     */
    private CompletableFuture<Result> sendSecondRequestAfter(
            List<ScriptedPeers.Connection> connections, Step step) throws Exception {
        CompletableFuture<Result> first = sendRequest();
        ScriptedPeers.Connection connection = accepted.take();
        connections.add(connection);
        connection.readCommand();
        serve(connection, "one");
        assertEquals("one", first.get().value());
        assumeTrue(
                transport.socket() == EpollSocketChannel.class,
                "detecting stale connections needs epoll");
        return loop.submit(
                        () -> {
                            holdLoop();
                            step.run(connection);
                            return sendRequest(attempt(), LONG_MILLIS);
                        })
                .get();
    }

    @Test
    void idleConnectionIsReused() throws Exception {
        List<ScriptedPeers.Connection> connections = new ArrayList<>();
        CompletableFuture<Result> second = sendSecondRequestAfter(connections, connection -> {});
        connections.get(0).readCommand();
        serve(connections.get(0), "two");
        assertEquals("two", second.get().value());
        assertEquals(1, pool.connectionsOpened());
    }

    @Test
    void remainingTimeIsForwardedAfterASlowConnect() throws Exception {
        CompletableFuture<Result> result =
                loop.submit(
                                () -> {
                                    CompletableFuture<Result> pending =
                                            sendRequest(attempt(), 5_000);
                                    holdLoop();
                                    return pending;
                                })
                        .get();
        ScriptedPeers.Connection connection = accepted.take();
        long forwardedMillis = Long.parseLong(connection.readCommand().get(0));
        assertTrue(
                forwardedMillis <= 5_000 - LOOP_HOLD_MILLIS,
                "forwarded " + forwardedMillis + " ms, expected the time left after the connect");
        serve(connection, "value");
        assertEquals("value", result.get().value());
    }

    @Test
    void nothingIsSentWhenTheConnectionOpensAfterTheDeadline() throws Exception {
        CompletableFuture<Result> result =
                loop.submit(
                                () -> {
                                    CompletableFuture<Result> pending =
                                            sendRequest(attempt(), LOOP_HOLD_MILLIS / 2);
                                    holdLoop();
                                    return pending;
                                })
                        .get();
        assertEquals(Outcome.NO_CONNECTION, result.get().outcome());
        assertNull(accepted.take().readCommand(), "closed with nothing sent");
    }

    @Test
    void commandThatMayNoLongerStartIsNeverSent() throws Exception {
        CompletableFuture<Outcome> result = new CompletableFuture<>();
        loop.execute(
                () ->
                        pool.send(
                                attempt(),
                                address,
                                remainingMillis -> null,
                                LONG_MILLIS,
                                (outcome, reply, receivedAt) -> result.complete(outcome)));
        assertEquals(Outcome.NOT_EXECUTED, result.get());
        assertNull(accepted.take().readCommand(), "closed with nothing sent");
    }

    @Test
    void attemptCancelledBeforeItIsWrittenIsNeverSent() throws Exception {
        Attempt attempt = attempt();
        CompletableFuture<Result> result =
                loop.submit(
                                () -> {
                                    CompletableFuture<Result> pending =
                                            sendRequest(attempt, LONG_MILLIS);
                                    holdLoop();
                                    pool.cancelUnwritten(attempt);
                                    return pending;
                                })
                        .get();
        assertEquals(Outcome.CANCELLED, result.get().outcome());
        CompletableFuture<Result> next =
                loop.submit(() -> sendRequest(attempt(), LOOP_HOLD_MILLIS * 100)).get();
        List<String> firstCommand = null;
        while (firstCommand == null) {
            ScriptedPeers.Connection connection = accepted.take();
            firstCommand = connection.readCommand();
            if (firstCommand != null) {
                serve(connection, "next");
            }
        }
        assertTrue(
                Long.parseLong(firstCommand.get(0)) <= LOOP_HOLD_MILLIS * 100,
                "the first command sent is that of the next request");
        assertEquals("next", next.get().value());
    }

    @Test
    void writtenAttemptIsNotCancelledAsUnwritten() throws Exception {
        Attempt attempt = attempt();
        CompletableFuture<Result> result =
                loop.submit(() -> sendRequest(attempt, LONG_MILLIS)).get();
        ScriptedPeers.Connection connection = accepted.take();
        connection.readCommand();
        loop.submit(() -> pool.cancelUnwritten(attempt)).get();
        serve(connection, "value");
        assertEquals("value", result.get().value());
    }

    @Test
    void replyAndTimeoutInOneLoopIterationEndInOneOutcome() throws Exception {
        CompletableFuture<Result> result =
                loop.submit(() -> sendRequest(attempt(), 2 * LOOP_HOLD_MILLIS)).get();
        ScriptedPeers.Connection connection = accepted.take();
        connection.readCommand();
        loop.submit(
                        () -> {
                            serve(connection, "value");
                            holdLoop();
                            holdLoop();
                            holdLoop();
                            return null;
                        })
                .get();
        assertEquals("value", result.get().value());
        await().until(() -> loop.submit(pool::attemptsInFlight).get() == 0);
    }
}
