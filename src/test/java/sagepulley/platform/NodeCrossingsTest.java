package sagepulley.platform;

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

/**
 * Calls to a node whose connection ends, comes up late or brings what nobody asked for; the loop is
 * held by hand.
 */
@Timeout(60)
class NodeCrossingsTest {
    private static final double LONG = 600_000;
    private static final int HELD_MS = 300;

    private final Transport transport = Transport.sockets();
    private final EventLoop loop = transport.loops().next();
    private final BlockingQueue<Peers.Talk> taken = new LinkedBlockingQueue<>();
    private final EndpointConnectionPool links =
            new EndpointConnectionPool(transport, 100, 5_000, LONG, LONG, new Clock()::now);
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
                                        taken.add(new Peers.Talk(socket));
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
        transport.loops().shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    /** On the loop; the command tells the time that is left. */
    private CompletableFuture<End> call(Attempt attempt, double timeout) {
        CompletableFuture<End> end = new CompletableFuture<>();
        links.send(
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
        return loop.submit(() -> call(attempt(), LONG)).get();
    }

    private static Attempt attempt() {
        return new Attempt(null, null, 0, 0);
    }

    private static void serve(Peers.Talk talk, String value) throws IOException {
        talk.say("*3\r\n$" + value.length() + "\r\n" + value + "\r\n$-1\r\n$-1\r\n");
    }

    private static void hold() {
        try {
            Thread.sleep(HELD_MS);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void aSecondAnswerThatLiesUnreadIsNotTakenForTheNextOne() throws Exception {
        assertServedOnAnotherConnectionAfter(
                talk -> {
                    serve(talk, "stale");
                    Kernel.awaitUnread(talk.socket.getPort(), talk.socket.getLocalPort());
                });
    }

    @Test
    void aConnectionThatTheNodeHasClosedIsNotUsedAgain() throws Exception {
        assertServedOnAnotherConnectionAfter(
                talk -> {
                    int port = talk.socket.getPort();
                    talk.socket.close();
                    Kernel.awaitEnd(port, node.getLocalPort());
                });
    }

    @Test
    void aConnectionThatTheNodeHasResetIsNotUsedAgain() throws Exception {
        assertServedOnAnotherConnectionAfter(
                talk -> {
                    int port = talk.socket.getPort();
                    talk.socket.setSoLinger(true, 0);
                    talk.socket.close();
                    Kernel.awaitNone(port, node.getLocalPort());
                });
    }

    private interface Step {
        void run(Peers.Talk talk) throws IOException;
    }

    /** What the step does to the free connection must not reach the second call. */
    private void assertServedOnAnotherConnectionAfter(Step step) throws Exception {
        CompletableFuture<End> second = secondCallOn(new ArrayList<>(), step);
        Peers.Talk fresh = taken.take();
        fresh.command();
        serve(fresh, "two");
        assertEquals(new End(Outcome.SERVED, "two"), second.get());
    }

    /**
     * One call is served and its connection free; then, before the loop looks again, the step and a
     * second call.
     */
    private CompletableFuture<End> secondCallOn(List<Peers.Talk> kept, Step step) throws Exception {
        CompletableFuture<End> first = call();
        Peers.Talk talk = taken.take();
        kept.add(talk);
        talk.command();
        serve(talk, "one");
        assertEquals("one", first.get().value());
        assumeTrue(
                transport.socket() == EpollSocketChannel.class, "only there the kernel is asked");
        return loop.submit(
                        () -> {
                            hold();
                            step.run(talk);
                            return call(attempt(), LONG);
                        })
                .get();
    }

    @Test
    void aFreeConnectionOnWhichNothingHappenedIsUsedAgain() throws Exception {
        List<Peers.Talk> first = new ArrayList<>();
        CompletableFuture<End> second = secondCallOn(first, talk -> {});
        first.get(0).command();
        serve(first.get(0), "two");
        assertEquals("two", second.get().value());
        assertEquals(1, links.opened);
    }

    @Test
    void aNodeIsToldWhatIsLeftThoughTheConnectionComesUpLate() throws Exception {
        CompletableFuture<End> end =
                loop.submit(
                                () -> {
                                    CompletableFuture<End> called = call(attempt(), 5_000);
                                    hold();
                                    return called;
                                })
                        .get();
        Peers.Talk talk = taken.take();
        long told = Long.parseLong(talk.command().get(0));
        assertTrue(told <= 5_000 - HELD_MS, "told " + told);
        serve(talk, "value");
        assertEquals("value", end.get().value());
    }

    @Test
    void nothingIsSentOnAConnectionThatComesUpWhenTheTimeIsOver() throws Exception {
        CompletableFuture<End> end =
                loop.submit(
                                () -> {
                                    CompletableFuture<End> called = call(attempt(), HELD_MS / 2);
                                    hold();
                                    return called;
                                })
                        .get();
        assertEquals(Outcome.NO_CONNECTION, end.get().outcome());
        assertNull(taken.take().command(), "closed with nothing sent");
    }

    @Test
    void whatMayNotBeginAnyMoreWhenTheConnectionIsUpIsNeverSent() throws Exception {
        CompletableFuture<Outcome> end = new CompletableFuture<>();
        loop.execute(
                () ->
                        links.send(
                                attempt(),
                                address,
                                left -> null,
                                LONG,
                                (outcome, answer, at) -> end.complete(outcome)));
        assertEquals(Outcome.NOT_EXECUTED, end.get());
        assertNull(taken.take().command(), "closed with nothing sent");
    }

    @Test
    void whatIsCalledOffBeforeItIsWrittenIsNeverSent() throws Exception {
        Attempt attempt = attempt();
        CompletableFuture<End> end =
                loop.submit(
                                () -> {
                                    CompletableFuture<End> called = call(attempt, LONG);
                                    hold();
                                    links.callOffUnwritten(attempt);
                                    return called;
                                })
                        .get();
        assertEquals(Outcome.CANCELLED, end.get().outcome());
        CompletableFuture<End> next = loop.submit(() -> call(attempt(), HELD_MS * 100)).get();
        List<String> sent = null;
        while (sent == null) {
            Peers.Talk talk = taken.take();
            sent = talk.command();
            if (sent != null) {
                serve(talk, "next");
            }
        }
        assertTrue(
                Long.parseLong(sent.get(0)) <= HELD_MS * 100,
                "the first that was sent is the next call");
        assertEquals("next", next.get().value());
    }

    @Test
    void whatIsWrittenIsLeftToWhoeverMayCallItOff() throws Exception {
        Attempt attempt = attempt();
        CompletableFuture<End> end = loop.submit(() -> call(attempt, LONG)).get();
        Peers.Talk talk = taken.take();
        talk.command();
        loop.submit(() -> links.callOffUnwritten(attempt)).get();
        serve(talk, "value");
        assertEquals("value", end.get().value());
    }

    @Test
    void anAnswerAndTheTimeOutInOneTurnAreOneEnd() throws Exception {
        CompletableFuture<End> end = loop.submit(() -> call(attempt(), 2 * HELD_MS)).get();
        Peers.Talk talk = taken.take();
        talk.command();
        loop.submit(
                        () -> {
                            serve(talk, "value");
                            hold();
                            hold();
                            hold();
                            return null;
                        })
                .get();
        assertEquals("value", end.get().value());
        await().until(() -> loop.submit(links::attemptsOut).get() == 0);
    }
}
