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
 * Requests to an endpoint whose connection ends, comes up late or brings unexpected bytes. The test
 * holds the event loop.
 */
@Timeout(60)
class EndpointConnectionRaceTest {
    private static final double LONG_MILLIS = 600_000;
    private static final int HELD_MILLIS = 300;

    private final Transport transport = Transport.sockets();
    private final EventLoop loop = transport.eventLoops().next();
    private final BlockingQueue<ScriptedPeers.Connection> accepted = new LinkedBlockingQueue<>();
    private final EndpointConnectionPool pool =
            new EndpointConnectionPool(
                    transport, 100, 5_000, LONG_MILLIS, LONG_MILLIS, new Clock()::now);
    private ServerSocket node;
    private SocketAddress address;

    private record End(Outcome outcome, String value) {}

    @BeforeEach
    void listen() throws IOException {
        node = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        address = node.getLocalSocketAddress();
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                while (true) {
                                    Socket socket = node.accept();
                                    try {
                                        accepted.add(new ScriptedPeers.Connection(socket));
                                    } catch (SocketException reset) {
                                        continue; // before anything could come on it
                                    }
                                }
                            } catch (IOException closed) {
                                // The test is over.
                            }
                        },
                        "node");
        thread.setDaemon(true);
        thread.start();
    }

    @AfterEach
    void close() throws IOException {
        node.close();
        transport.eventLoops().shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    /** Called on the loop; the command carries the remaining time. */
    private CompletableFuture<End> call(Attempt attempt, double timeout) {
        CompletableFuture<End> end = new CompletableFuture<>();
        pool.send(
                attempt,
                address,
                left -> List.of(Long.toString((long) left).getBytes(StandardCharsets.US_ASCII)),
                timeout,
                (outcome, answer, at) ->
                        end.complete(
                                new End(
                                        outcome,
                                        answer == null
                                                ? null
                                                : new String(
                                                        ((Resp.Bulk)
                                                                        ((Resp.Array) answer)
                                                                                .items()
                                                                                .get(0))
                                                                .bytes(),
                                                        StandardCharsets.US_ASCII))));
        return end;
    }

    private CompletableFuture<End> call() throws Exception {
        return loop.submit(() -> call(attempt(), LONG_MILLIS)).get();
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
            Thread.sleep(HELD_MILLIS);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void unreadDuplicateReplyIsNotTakenForTheNext() throws Exception {
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
                    KernelTcpTable.awaitFin(port, node.getLocalPort());
                });
    }

    @Test
    void connectionResetByTheEndpointIsNotReused() throws Exception {
        assertServedOnAnotherConnectionAfter(
                connection -> {
                    int port = connection.socket.getPort();
                    connection.socket.setSoLinger(true, 0);
                    connection.socket.close();
                    KernelTcpTable.awaitGone(port, node.getLocalPort());
                });
    }

    private interface Step {
        void run(ScriptedPeers.Connection connection) throws IOException;
    }

    /** What the step does to the idle connection must not reach the second request. */
    private void assertServedOnAnotherConnectionAfter(Step step) throws Exception {
        CompletableFuture<End> second = secondCallOn(new ArrayList<>(), step);
        ScriptedPeers.Connection fresh = accepted.take();
        fresh.readCommand();
        serve(fresh, "two");
        assertEquals(new End(Outcome.SERVED, "two"), second.get());
    }

    /**
     * One request is served and its connection idle; then, before the loop polls again, the step
     * and a second request.
     */
    private CompletableFuture<End> secondCallOn(List<ScriptedPeers.Connection> kept, Step step)
            throws Exception {
        CompletableFuture<End> first = call();
        ScriptedPeers.Connection connection = accepted.take();
        kept.add(connection);
        connection.readCommand();
        serve(connection, "one");
        assertEquals("one", first.get().value());
        assumeTrue(
                transport.socket() == EpollSocketChannel.class, "only there the kernel is asked");
        return loop.submit(
                        () -> {
                            holdLoop();
                            step.run(connection);
                            return call(attempt(), LONG_MILLIS);
                        })
                .get();
    }

    @Test
    void idleConnectionIsReused() throws Exception {
        List<ScriptedPeers.Connection> first = new ArrayList<>();
        CompletableFuture<End> second = secondCallOn(first, connection -> {});
        first.get(0).readCommand();
        serve(first.get(0), "two");
        assertEquals("two", second.get().value());
        assertEquals(1, pool.connectionsOpened());
    }

    @Test
    void endpointGetsTheRemainingTimeAfterASlowConnect() throws Exception {
        CompletableFuture<End> end =
                loop.submit(
                                () -> {
                                    CompletableFuture<End> called = call(attempt(), 5_000);
                                    holdLoop();
                                    return called;
                                })
                        .get();
        ScriptedPeers.Connection connection = accepted.take();
        long told = Long.parseLong(connection.readCommand().get(0));
        assertTrue(told <= 5_000 - HELD_MILLIS, "told " + told);
        serve(connection, "value");
        assertEquals("value", end.get().value());
    }

    @Test
    void nothingIsSentWhenTheConnectionComesUpAfterTheDeadline() throws Exception {
        CompletableFuture<End> end =
                loop.submit(
                                () -> {
                                    CompletableFuture<End> called =
                                            call(attempt(), HELD_MILLIS / 2);
                                    holdLoop();
                                    return called;
                                })
                        .get();
        assertEquals(Outcome.NO_CONNECTION, end.get().outcome());
        assertNull(accepted.take().readCommand(), "closed with nothing sent");
    }

    @Test
    void commandThatMayNoLongerStartIsNeverSent() throws Exception {
        CompletableFuture<Outcome> end = new CompletableFuture<>();
        loop.execute(
                () ->
                        pool.send(
                                attempt(),
                                address,
                                left -> null,
                                LONG_MILLIS,
                                (outcome, answer, at) -> end.complete(outcome)));
        assertEquals(Outcome.NOT_EXECUTED, end.get());
        assertNull(accepted.take().readCommand(), "closed with nothing sent");
    }

    @Test
    void attemptCancelledBeforeItIsWrittenIsNeverSent() throws Exception {
        Attempt attempt = attempt();
        CompletableFuture<End> end =
                loop.submit(
                                () -> {
                                    CompletableFuture<End> called = call(attempt, LONG_MILLIS);
                                    holdLoop();
                                    pool.cancelUnwritten(attempt);
                                    return called;
                                })
                        .get();
        assertEquals(Outcome.CANCELLED, end.get().outcome());
        CompletableFuture<End> next = loop.submit(() -> call(attempt(), HELD_MILLIS * 100)).get();
        List<String> sent = null;
        while (sent == null) {
            ScriptedPeers.Connection connection = accepted.take();
            sent = connection.readCommand();
            if (sent != null) {
                serve(connection, "next");
            }
        }
        assertTrue(
                Long.parseLong(sent.get(0)) <= HELD_MILLIS * 100,
                "the first that was sent is the next call");
        assertEquals("next", next.get().value());
    }

    @Test
    void writtenAttemptIsNotCancelledAsUnwritten() throws Exception {
        Attempt attempt = attempt();
        CompletableFuture<End> end = loop.submit(() -> call(attempt, LONG_MILLIS)).get();
        ScriptedPeers.Connection connection = accepted.take();
        connection.readCommand();
        loop.submit(() -> pool.cancelUnwritten(attempt)).get();
        serve(connection, "value");
        assertEquals("value", end.get().value());
    }

    @Test
    void replyAndTimeoutInOneTurnAreOneOutcome() throws Exception {
        CompletableFuture<End> end = loop.submit(() -> call(attempt(), 2 * HELD_MILLIS)).get();
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
        assertEquals("value", end.get().value());
        await().until(() -> loop.submit(pool::attemptsInFlight).get() == 0);
    }
}
