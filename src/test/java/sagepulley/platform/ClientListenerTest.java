package sagepulley.platform;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import sagepulley.codec.resp.RespBytes;

/**
 * Clients' connections on real sockets while they end. The loop is held by hand, so that what a
 * test puts into the kernel meanwhile is always there, unread, when the end begins; the time of the
 * front is the test's own.
 */
@Timeout(60)
class ClientListenerTest {
    private static final int ROOM = 40;
    private static final int BIG = 60_000;

    private final Transport transport = Transport.sockets();
    private final EventLoop loop = transport.loops().next();
    private final List<ClientConnection> connections = new CopyOnWriteArrayList<>();
    private final List<ClientConnection.Slot> asked = new CopyOnWriteArrayList<>();
    private final AtomicInteger left = new AtomicInteger();
    private final List<Socket> sockets = new ArrayList<>();
    private volatile double now;
    private ClientListener front;
    private SocketAddress address;

    @BeforeEach
    void listen() throws Exception {
        front =
                new ClientListener(
                        transport,
                        ROOM,
                        5_000,
                        new ClientConnection.Owner() {
                            @Override
                            public void asked(
                                    ClientConnection connection,
                                    ClientConnection.Slot slot,
                                    List<byte[]> words) {
                                connection.asked = true;
                                slot.held = words;
                                connections.add(connection);
                                asked.add(slot);
                                if (connection.isEnding() || front.isEnding()) {
                                    slot.answer(RespBytes.error("BUSY"));
                                }
                            }

                            @Override
                            public void left(ClientConnection.Slot slot) {
                                left.incrementAndGet();
                            }

                            @Override
                            public void closed(ClientConnection connection) {
                                front.closed(connection);
                            }

                            @Override
                            public double now() {
                                return now;
                            }
                        });
        address =
                front.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                        .sync()
                        .channel()
                        .localAddress();
    }

    @AfterEach
    void close() throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
        transport.loops().shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private Peers.Talk client() throws IOException {
        Socket socket = new Socket();
        sockets.add(socket);
        socket.connect(address);
        return new Peers.Talk(socket);
    }

    private interface Step {
        void run() throws IOException;
    }

    /**
     * The first step is done while the loop stands still, the second then on the loop before it
     * reads.
     */
    private void crossing(Step meanwhile, Step then) throws Exception {
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch go = new CountDownLatch(1);
        var done =
                loop.submit(
                        () -> {
                            held.countDown();
                            go.await();
                            then.run();
                            return null;
                        });
        held.await();
        try {
            meanwhile.run();
        } finally {
            go.countDown();
        }
        done.get();
    }

    private void onLoop(Step step) throws Exception {
        crossing(() -> {}, step);
    }

    private void passTime(double length) throws Exception {
        now += length;
        onLoop(front::sweep);
    }

    @Test
    void theLastAnswerArrivesWholeThoughBytesLieUnreadWhenItsConnectionEnds() throws Exception {
        Peers.Talk client = client();
        client.ask(Peers.read(1));
        await().until(() -> asked.size() == 1);
        crossing(
                () -> client.say("*4\r\n$8\r\nBLK.RE"),
                () -> {
                    asked.get(0).answer(RespBytes.bulk(new byte[BIG]));
                    front.end();
                });
        assertEquals("$" + BIG, client.line());
        assertEquals(BIG, client.in.readNBytes(BIG).length);
        assertEquals("", client.line());
        assertNull(client.line(), "an end, and no reset");
        client.socket.close();
        await().until(() -> front.hasEnded());
        assertEquals(1, asked.size());
    }

    @Test
    void whatComesAfterTheEndWasSaidIsDropped() throws Exception {
        Peers.Talk client = client();
        client.ask("PING");
        assertEquals("+PONG", client.answer());
        onLoop(front::end);
        assertNull(client.answer(), "an end");
        client.ask(Peers.read(1));
        client.ask(Peers.read(2));
        client.socket.shutdownOutput();
        await().until(() -> front.hasEnded());
        assertEquals(0, asked.size());
    }

    @Test
    void whatIsReadBehindAnOpenCommandWhileTheConnectionEndsIsAnsweredToo() throws Exception {
        Peers.Talk client = client();
        client.ask(Peers.read(1));
        await().until(() -> asked.size() == 1);
        crossing(() -> client.ask(Peers.read(2)), front::end);
        await().until(() -> asked.size() == 2);
        onLoop(() -> asked.get(0).answer(RespBytes.simple("FIRST")));
        assertEquals("+FIRST", client.answer());
        assertEquals("-BUSY", client.answer());
        assertNull(client.answer());
    }

    @Test
    void whomTheKernelAcceptedBeforeTheListenerClosesIsAnswered() throws Exception {
        List<Peers.Talk> clients = new ArrayList<>();
        crossing(
                () -> {
                    for (int i = 0; i < 20; i++) {
                        Peers.Talk client = client();
                        client.ask(Peers.read(i));
                        clients.add(client);
                    }
                },
                front::end);
        for (Peers.Talk client : clients) {
            assertEquals("-BUSY", client.answer());
        }
        passTime(200);
        for (Peers.Talk client : clients) {
            assertNull(client.answer(), "an end");
            client.socket.close();
        }
        await().until(() -> front.hasEnded());
    }

    /** How a client ends its connection. */
    enum Way {
        FIN,
        HALF_CLOSE,
        RESET
    }

    @ParameterizedTest
    @EnumSource(Way.class)
    void aCloseIsSeenWhileReadingIsPausedForManyOpenCommands(Way way) throws Exception {
        Peers.Talk client = client();
        StringBuilder many = new StringBuilder();
        for (int i = 0; i < 100; i++) {
            many.append(Peers.command(Peers.read(i)));
        }
        client.say(many.toString());
        await().until(() -> asked.size() >= 64);
        switch (way) {
            case FIN -> client.socket.close();
            case HALF_CLOSE -> client.socket.shutdownOutput();
            case RESET -> {
                client.socket.setSoLinger(true, 0);
                client.socket.close();
            }
        }
        await().until(() -> front.size() == 0);
        assertEquals(asked.size(), left.get(), "all that was asked has left");
    }

    @Test
    void aCommandThatComesSlowlyAfterARestIsWaitedForAndOneThatStopsIsNot() throws Exception {
        Peers.Talk client = client();
        client.ask("PING");
        assertEquals("+PONG", client.answer());
        passTime(3_000);
        String command = Peers.command(Peers.read(1));
        int half = command.length() / 2;
        client.say(command.substring(0, half));
        awaitPartial();
        passTime(1_900);
        client.say(command.substring(half, half + 1));
        client.say(command.substring(half + 1));
        await().until(() -> asked.size() == 1);
        onLoop(() -> asked.get(0).answer(RespBytes.simple("DONE")));
        assertEquals("+DONE", client.answer());
        client.say(command.substring(0, half));
        awaitPartial();
        passTime(2_100);
        assertNull(client.answer());
    }

    /** Until the first part has been read and noted. */
    private void awaitPartial() {
        await().until(() -> loop.submit(() -> front.isInMiddle()).get());
    }

    @Test
    void whoeverNeverAnswersTheEndIsClosedInTheEnd() throws Exception {
        Peers.Talk client = client();
        client.ask("PING");
        assertEquals("+PONG", client.answer());
        onLoop(front::end);
        assertNull(client.answer());
        passTime(900);
        assertEquals(1, front.size());
        passTime(200);
        await().until(() -> front.hasEnded());
    }

    @Test
    void roomIsMadeByAnEndAndNotByAReset() throws Exception {
        List<Peers.Talk> clients = new ArrayList<>();
        for (int i = 0; i < ROOM * 2; i++) {
            Peers.Talk client = client();
            client.ask("PING");
            assertEquals("+PONG", client.answer());
            clients.add(client);
            now += 10;
        }
        await().until(() -> front.size() <= ROOM);
        int ended = 0;
        // The oldest of those that wait for the peer's end is closed for good, with nothing unread
        // on it.
        for (Peers.Talk client : clients.subList(0, ROOM)) {
            assertNull(client.answer());
            ended++;
        }
        assertEquals(ROOM, ended);
        Peers.Talk last = clients.get(clients.size() - 1);
        last.ask("PING");
        assertEquals("+PONG", last.answer());
        assertTrue(front.turnedAway == 0, "nobody was turned away");
    }
}
