package sagepulley.frontend.resp;

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
import sagepulley.codec.resp.NumberParser;
import sagepulley.codec.resp.RespEncoder;
import sagepulley.testing.ScriptedPeers;
import sagepulley.transport.MemoryLimits;
import sagepulley.transport.Transport;

/**
 * Guards against lost replies and resets when client connections end. The test blocks the event
 * loop, so that what it sends meanwhile is unread when draining begins, and sets the listener's
 * clock.
 */
@Timeout(60)
class ClientListenerTest {
    private static final int MAX_CONNECTIONS = 40;
    private static final int MEMORY_MB = 48;
    private static final int LARGE_VALUE_BYTES = 60_000;

    private final Transport transport = Transport.sockets();
    private final EventLoop loop = transport.eventLoops().next();
    private final List<ClientConnection> connections = new CopyOnWriteArrayList<>();
    private final List<ClientConnection.PendingReply> requests = new CopyOnWriteArrayList<>();
    private final ClientMemory memory = new ClientMemory(MemoryLimits.ofProcess(MEMORY_MB), loop);
    private final AtomicInteger cancelled = new AtomicInteger();
    private final List<Socket> sockets = new ArrayList<>();
    private volatile double now;
    private ClientListener listener;
    private SocketAddress address;

    @BeforeEach
    void listen() throws Exception {
        listener =
                new ClientListener(
                        transport,
                        MAX_CONNECTIONS,
                        5_000,
                        memory,
                        new ClientConnection.Handler() {
                            @Override
                            public void onRequest(
                                    ClientConnection connection,
                                    ClientConnection.PendingReply pendingReply,
                                    List<byte[]> arguments) {
                                connection.hasSentCommand = true;
                                pendingReply.attachment = arguments;
                                connections.add(connection);
                                requests.add(pendingReply);
                                if (connection.isDraining() || listener.isDraining()) {
                                    pendingReply.reply(RespEncoder.error("BUSY"));
                                }
                            }

                            @Override
                            public void onDiscarded(ClientConnection.PendingReply pendingReply) {
                                pendingReply.reply(RespEncoder.error("BUSY"));
                            }

                            @Override
                            public void onClientCancelled(
                                    ClientConnection.PendingReply pendingReply) {
                                cancelled.incrementAndGet();
                            }

                            @Override
                            public void onClosed(ClientConnection connection) {
                                listener.remove(connection);
                            }

                            @Override
                            public double now() {
                                return now;
                            }
                        });
        address =
                listener.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                        .sync()
                        .channel()
                        .localAddress();
    }

    @AfterEach
    void close() throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
        transport.eventLoops().shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private ScriptedPeers.Connection client() throws IOException {
        Socket socket = new Socket();
        sockets.add(socket);
        socket.connect(address);
        return new ScriptedPeers.Connection(socket);
    }

    private interface Step {
        void run() throws IOException;
    }

    /**
     * Runs the first step while the event loop is blocked, then the second on the loop before it
     * reads.
     */
    private void runWhileLoopIsBlocked(Step whileBlocked, Step afterwards) throws Exception {
        CountDownLatch loopBlocked = new CountDownLatch(1);
        CountDownLatch releaseLoop = new CountDownLatch(1);
        var done =
                loop.submit(
                        () -> {
                            loopBlocked.countDown();
                            releaseLoop.await();
                            afterwards.run();
                            return null;
                        });
        loopBlocked.await();
        try {
            whileBlocked.run();
        } finally {
            releaseLoop.countDown();
        }
        done.get();
    }

    private void runOnLoop(Step step) throws Exception {
        runWhileLoopIsBlocked(() -> {}, step);
    }

    private void advanceTime(double millis) throws Exception {
        now += millis;
        runOnLoop(listener::closeExpired);
    }

    @Test
    void lastReplyArrivesCompleteWhenUnreadBytesRemainAtDrain() throws Exception {
        ScriptedPeers.Connection client = client();
        client.sendCommand(ScriptedPeers.readCommand(1));
        await().until(() -> requests.size() == 1);
        runWhileLoopIsBlocked(
                () -> client.send("*4\r\n$8\r\nBLK.RE"),
                () -> {
                    requests.get(0).reply(RespEncoder.bulk(new byte[LARGE_VALUE_BYTES]));
                    listener.drain();
                });
        assertEquals("$" + LARGE_VALUE_BYTES, client.readLine());
        assertEquals(LARGE_VALUE_BYTES, client.input.readNBytes(LARGE_VALUE_BYTES).length);
        assertEquals("", client.readLine());
        awaitPartialCommand();
        advanceTime(2_100); // the read timeout of the command received in part
        assertNull(client.readLine(), "expected end of stream without a reset");
        client.socket.close();
        await().until(() -> listener.isDrained());
        assertEquals(1, requests.size());
    }

    @Test
    void commandsAfterHalfCloseAreDropped() throws Exception {
        ScriptedPeers.Connection client = client();
        client.sendCommand("PING");
        assertEquals("+PONG", client.readReply());
        runOnLoop(listener::drain);
        assertNull(client.readReply(), "expected end of stream");
        client.sendCommand(ScriptedPeers.readCommand(1));
        client.sendCommand(ScriptedPeers.readCommand(2));
        client.socket.shutdownOutput();
        await().until(() -> listener.isDrained());
        assertEquals(0, requests.size());
    }

    @Test
    void commandsReadWhileDrainingAreRepliedTo() throws Exception {
        ScriptedPeers.Connection client = client();
        client.sendCommand(ScriptedPeers.readCommand(1));
        await().until(() -> requests.size() == 1);
        runWhileLoopIsBlocked(
                () -> client.sendCommand(ScriptedPeers.readCommand(2)), listener::drain);
        await().until(() -> requests.size() == 2);
        runOnLoop(() -> requests.get(0).reply(RespEncoder.simple("FIRST")));
        assertEquals("+FIRST", client.readReply());
        assertEquals("-BUSY", client.readReply());
        assertNull(client.readReply());
    }

    @Test
    void connectionsInTheBacklogAreRepliedToBeforeTheListenerCloses() throws Exception {
        List<ScriptedPeers.Connection> clients = new ArrayList<>();
        runWhileLoopIsBlocked(
                () -> {
                    for (int i = 0; i < 20; i++) {
                        ScriptedPeers.Connection client = client();
                        client.sendCommand(ScriptedPeers.readCommand(i));
                        clients.add(client);
                    }
                },
                listener::drain);
        for (ScriptedPeers.Connection client : clients) {
            assertEquals("-BUSY", client.readReply());
        }
        advanceTime(200);
        for (ScriptedPeers.Connection client : clients) {
            assertNull(client.readReply(), "expected end of stream");
            client.socket.close();
        }
        await().until(() -> listener.isDrained());
    }

    /** A drain dropped the commands that lay unread while too many replies were pending. */
    @Test
    void commandsUnreadAtDrainAreRepliedTo() throws Exception {
        int commandCount = 150;
        ScriptedPeers.Connection client = client();
        sendWrites(client, commandCount, 4_096);
        await().until(() -> requests.size() >= 64);
        runOnLoop(
                () -> {
                    listener.drain();
                    for (ClientConnection.PendingReply request : List.copyOf(requests)) {
                        request.reply(RespEncoder.simple("DONE"));
                    }
                });
        for (int i = 0; i < commandCount; i++) {
            assertTrue(List.of("+DONE", "-BUSY").contains(client.readReply()), "reply " + i);
        }
        assertNull(client.readReply(), "expected end of stream");
    }

    /** A drain dropped a command whose first bytes had been read. */
    @Test
    void commandReceivedInPartAtDrainIsRepliedTo() throws Exception {
        ScriptedPeers.Connection client = client();
        client.sendCommand("PING");
        assertEquals("+PONG", client.readReply());
        String command = ScriptedPeers.command(ScriptedPeers.readCommand(1));
        client.send(command.substring(0, 20));
        awaitPartialCommand();
        runOnLoop(listener::drain);
        client.send(command.substring(20));
        assertEquals("-BUSY", client.readReply());
        assertNull(client.readReply(), "expected end of stream");
    }

    /** A command that crossed the end of its connection and was sent again found no listener. */
    @Test
    void commandSentAgainWhileConnectionsDrainIsRepliedTo() throws Exception {
        ScriptedPeers.Connection client = client();
        client.sendCommand("PING");
        assertEquals("+PONG", client.readReply());
        runOnLoop(listener::drainConnections);
        assertNull(client.readReply(), "expected end of stream");
        ScriptedPeers.Connection again = client();
        again.sendCommand(ScriptedPeers.readCommand(1));
        assertEquals("-BUSY", again.readReply());
    }

    /** The last step of a shutdown, for a client that never completes its command. */
    @Test
    void commandReceivedInPartIsRejectedAtTheEnd() throws Exception {
        ScriptedPeers.Connection client = client();
        client.send("*4\r\n$8\r\nBLK.RE");
        awaitPartialCommand();
        runOnLoop(
                () -> {
                    listener.drainConnections();
                    listener.drainAndRejectPartialCommands();
                });
        assertEquals("-BUSY", client.readReply());
        assertNull(client.readReply(), "expected end of stream");
    }

    /** The output was shut down while replies were still queued for a client that reads slowly. */
    @Test
    void drainWaitsForASlowReader() throws Exception {
        int commandCount = 60;
        ScriptedPeers.Connection client = client();
        sendWrites(client, commandCount, 10);
        await().until(() -> requests.size() == commandCount);
        runOnLoop(
                () -> {
                    for (ClientConnection.PendingReply request : List.copyOf(requests)) {
                        request.reply(RespEncoder.bulk(new byte[LARGE_VALUE_BYTES]));
                    }
                    listener.drain();
                });
        advanceTime(1_500);
        for (int i = 0; i < commandCount; i++) {
            assertEquals("$" + LARGE_VALUE_BYTES, client.readLine());
            client.input.readNBytes(LARGE_VALUE_BYTES + 2);
        }
        assertNull(client.readLine(), "expected end of stream");
        assertEquals(0L, loop.submit(() -> memory.requests().usedBytes()).get());
    }

    private static void sendWrites(ScriptedPeers.Connection client, int count, int bytes)
            throws IOException {
        for (int i = 0; i < count; i++) {
            client.sendCommand(
                    "BLK.WRITE",
                    NumberParser.formatId(7),
                    NumberParser.formatId(i),
                    ScriptedPeers.fields("put", 9_000, 0),
                    "w".repeat(bytes));
        }
    }

    /** Ways in which a client disconnects. */
    enum DisconnectKind {
        FIN,
        HALF_CLOSE,
        RESET
    }

    @ParameterizedTest
    @EnumSource(DisconnectKind.class)
    void disconnectIsDetectedWhileReadingIsPaused(DisconnectKind kind) throws Exception {
        ScriptedPeers.Connection client = client();
        StringBuilder commands = new StringBuilder();
        for (int i = 0; i < 100; i++) {
            commands.append(ScriptedPeers.command(ScriptedPeers.readCommand(i)));
        }
        client.send(commands.toString());
        await().until(() -> requests.size() >= 64);
        switch (kind) {
            case FIN -> client.socket.close();
            case HALF_CLOSE -> client.socket.shutdownOutput();
            case RESET -> {
                client.socket.setSoLinger(true, 0);
                client.socket.close();
            }
        }
        await().until(() -> listener.connectionCount() == 0);
        assertEquals(requests.size(), cancelled.get(), "not every request was cancelled");
    }

    @Test
    void slowCommandIsServedAndStalledCommandTimesOut() throws Exception {
        ScriptedPeers.Connection client = client();
        client.sendCommand("PING");
        assertEquals("+PONG", client.readReply());
        advanceTime(3_000);
        String command = ScriptedPeers.command(ScriptedPeers.readCommand(1));
        int half = command.length() / 2;
        client.send(command.substring(0, half));
        awaitPartialCommand();
        advanceTime(1_900);
        client.send(command.substring(half, half + 1));
        client.send(command.substring(half + 1));
        await().until(() -> requests.size() == 1);
        runOnLoop(() -> requests.get(0).reply(RespEncoder.simple("DONE")));
        assertEquals("+DONE", client.readReply());
        client.send(command.substring(0, half));
        awaitPartialCommand();
        advanceTime(2_100);
        assertNull(client.readReply());
    }

    /** Waits until part of a command has been read. */
    private void awaitPartialCommand() {
        await().until(() -> loop.submit(() -> listener.isReadingCommand()).get());
    }

    @Test
    void peerThatNeverSendsFinIsClosedAfterTheLingerTimeout() throws Exception {
        ScriptedPeers.Connection client = client();
        client.sendCommand("PING");
        assertEquals("+PONG", client.readReply());
        runOnLoop(listener::drain);
        assertNull(client.readReply());
        advanceTime(900);
        assertEquals(1, listener.connectionCount());
        advanceTime(200);
        await().until(() -> listener.isDrained());
    }

    @Test
    void connectionsClosedAtCapacityEndWithFinNotReset() throws Exception {
        List<ScriptedPeers.Connection> clients = new ArrayList<>();
        for (int i = 0; i < MAX_CONNECTIONS * 2; i++) {
            ScriptedPeers.Connection client = client();
            client.sendCommand("PING");
            assertEquals("+PONG", client.readReply());
            clients.add(client);
            now += 10;
        }
        await().until(() -> listener.connectionCount() <= MAX_CONNECTIONS);
        int drainedClients = 0;
        // The oldest lingering connection is closed with nothing unread on it.
        for (ScriptedPeers.Connection client : clients.subList(0, MAX_CONNECTIONS)) {
            assertNull(client.readReply());
            drainedClients++;
        }
        assertEquals(MAX_CONNECTIONS, drainedClients);
        ScriptedPeers.Connection last = clients.get(clients.size() - 1);
        last.sendCommand("PING");
        assertEquals("+PONG", last.readReply());
        assertTrue(listener.rejected() == 0, "connections were rejected");
    }
}
