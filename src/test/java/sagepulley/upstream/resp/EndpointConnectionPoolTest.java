package sagepulley.upstream.resp;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import io.netty.channel.epoll.EpollSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import sagepulley.engine.Clock;
import sagepulley.model.Outcome;
import sagepulley.transport.Transport;

/** The outcome of a request, by what its connection does. */
class EndpointConnectionPoolTest {
    private static final long NEVER_MILLIS = 600_000;
    private static final long HELD_MILLIS = 300;

    private final Transport transport = Transport.sockets();
    private final List<Socket> accepted = new CopyOnWriteArrayList<>();
    private ServerSocket node;

    /** An endpoint that sends this on each connection, and then nothing more. */
    private SocketAddress node(String says) throws IOException {
        node = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                while (true) {
                                    Socket socket = node.accept();
                                    socket.getOutputStream()
                                            .write(says.getBytes(StandardCharsets.US_ASCII));
                                    accepted.add(socket);
                                }
                            } catch (IOException closed) {
                                // The test is over.
                            }
                        },
                        "node");
        thread.setDaemon(true);
        thread.start();
        return node.getLocalSocketAddress();
    }

    private EndpointConnectionPool pool(double stallTime) {
        return new EndpointConnectionPool(
                transport, 100, 5_000, NEVER_MILLIS, stallTime, new Clock()::now);
    }

    private Outcome call(EndpointConnectionPool pool, SocketAddress address, double timeout) {
        CompletableFuture<Outcome> ended = new CompletableFuture<>();
        transport
                .eventLoops()
                .next()
                .execute(
                        () ->
                                pool.sendHealthCheck(
                                        address,
                                        List.of("PING".getBytes(StandardCharsets.US_ASCII)),
                                        timeout,
                                        (outcome, answer, at) -> ended.complete(outcome)));
        return ended.join();
    }

    @Test
    void endpointThatHasBegunToReplyAtTheTimeoutHasFailed() throws IOException {
        SocketAddress address = node("*3\r\n$5\r\nva");
        EndpointConnectionPool pool = pool(NEVER_MILLIS);
        // On a slow machine the first bytes may come after a timeout; not after each one.
        await().until(() -> call(pool, address, 50) == Outcome.FAILED);
    }

    @Test
    void silentEndpointTimesOut() throws IOException {
        SocketAddress address = node("");
        EndpointConnectionPool pool = pool(1);
        await().until(() -> call(pool, address, 50) == Outcome.TIMED_OUT);
    }

    @Test
    void replyThatPausesForTheStallTimeoutHasFailed() throws IOException {
        assertEquals(Outcome.FAILED, call(pool(20), node("*3\r\n$5\r\nva"), NEVER_MILLIS));
    }

    /** Holds the loop until the reply has been in the kernel for long. */
    @Test
    void receiveTimeIsTheKernelsWhenTheLoopWasHeldUp() throws IOException {
        assumeTrue(
                transport.socket() == EpollSocketChannel.class, "only there the kernel is asked");
        SocketAddress address = node("+PONG\r\n");
        EndpointConnectionPool pool = pool(NEVER_MILLIS);
        Clock clock = new Clock();
        CompletableFuture<Double> late = new CompletableFuture<>();
        transport
                .eventLoops()
                .next()
                .execute(
                        () -> {
                            pool.sendHealthCheck(
                                    address,
                                    List.of("PING".getBytes(StandardCharsets.US_ASCII)),
                                    NEVER_MILLIS,
                                    (outcome, answer, at) -> late.complete(clock.now() - at));
                            transport.eventLoops().next().execute(() -> holdLoop());
                        });
        assertTrue(late.join() >= HELD_MILLIS / 2, "told " + late.join() + " ms ago");
    }

    private void holdLoop() {
        try {
            while (accepted.isEmpty()) {
                Thread.sleep(1);
            }
            Thread.sleep(HELD_MILLIS);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @AfterEach
    void close() throws IOException {
        node.close();
        for (Socket socket : accepted) {
            socket.close();
        }
        transport.eventLoops().shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }
}
