package sagepulley.platform;

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
import sagepulley.model.Node;

/** The whole way on sockets: a client, the gateway, a scripted node and a scripted discovery. */
@Timeout(60)
class PlatformPathTest {
    private static final Peers.Script SERVES = (words, talk) -> talk.say(Peers.VALUE);

    @Test
    void readsAndWritesAreServedAndGoOnAsTheyCameButForThePatience() throws Exception {
        try (Peers peers = new Peers(SERVES)) {
            Peers.Talk client = peers.client();
            client.ask("PING");
            assertEquals("+PONG", client.answer());
            client.ask(Peers.read(1));
            assertEquals("$5 value", client.answer());
            client.ask(
                    "BLK.WRITE",
                    NumberParser.id(7),
                    NumberParser.id(2),
                    Peers.fields("put", 9000, -1) + ",k=9",
                    "bytes");
            assertEquals("$5 value", client.answer());
            assertEquals("BLK.READ", peers.commands.get(0).get(0));
            String sent = peers.commands.get(1).get(3);
            assertEquals(
                    Peers.fields("put", 9000, -1).replaceAll(",d=\\d+", "") + ",k=9",
                    sent.replaceAll(",d=\\d+", ""));
            int patience = Integer.parseInt(sent.replaceAll(".*,d=(\\d+),.*", "$1"));
            assertTrue(patience > 0 && patience < 9000, "told " + patience);
            assertEquals("bytes", peers.commands.get(1).get(4));
        }
    }

    @Test
    void answersKeepTheOrderOfTheCommandsThoughALaterOneIsReadyFirst() throws Exception {
        CountDownLatch later = new CountDownLatch(1);
        try (Peers peers =
                new Peers(
                        (words, talk) -> {
                            if (words.get(2).equals(NumberParser.id(1))) {
                                awaitQuietly(later);
                            }
                            talk.say("*3\r\n$16\r\n" + words.get(2) + "\r\n$-1\r\n$-1\r\n");
                            if (words.get(2).equals(NumberParser.id(2))) {
                                later.countDown();
                            }
                        })) {
            Peers.Talk client = peers.client();
            client.say(
                    Peers.command(Peers.read(1))
                            + Peers.command(Peers.read(2))
                            + Peers.command("PING"));
            assertEquals("$16 " + NumberParser.id(1), client.answer());
            assertEquals("$16 " + NumberParser.id(2), client.answer());
            assertEquals("+PONG", client.answer());
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
    void aCommandWithWrongFieldsGetsAnErrorAndNothingGoesToANode(String fields) throws Exception {
        try (Peers peers = new Peers(SERVES)) {
            Peers.Talk client = peers.client();
            client.ask("BLK.READ", NumberParser.id(7), NumberParser.id(1), fields);
            assertTrue(client.answer().startsWith("-ERR"));
            client.ask("BLK.READ", NumberParser.id(7), "no id", Peers.fields("get", 900, 0));
            assertTrue(client.answer().startsWith("-ERR"));
            client.ask("BLK.READ", NumberParser.id(7), NumberParser.id(1));
            assertTrue(client.answer().startsWith("-ERR"));
            client.ask("FLUSHALL");
            assertTrue(client.answer().startsWith("-ERR"));
            client.ask(Peers.read(5));
            assertEquals("$5 value", client.answer(), "the connection goes on");
            assertEquals(1, peers.commands.size());
        }
    }

    @Test
    void bytesThatAreNoCommandGetAnErrorAndTheEndAndHarmNobodyElse() throws Exception {
        try (Peers peers = new Peers(SERVES)) {
            Peers.Talk good = peers.client();
            for (String bad :
                    new String[] {
                        "GET / HTTP/1.1\r\n",
                        "*1\r\n$-7\r\n",
                        "*5\r\n$62914560\r\n",
                        "*1\r\n$4\r\nPINGPING"
                    }) {
                Peers.Talk client = peers.client();
                client.say(bad);
                assertTrue(client.answer().startsWith("-ERR protocol error"));
                assertNull(client.answer(), "closed");
            }
            good.ask(Peers.read(5));
            assertEquals("$5 value", good.answer());
        }
    }

    @Test
    void anIdThatIsInHandIsRefusedAndTheFirstIsServed() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        try (Peers peers =
                new Peers(
                        (words, talk) -> {
                            awaitQuietly(go);
                            talk.say(Peers.VALUE);
                        })) {
            Peers.Talk first = peers.client();
            first.ask(Peers.read(1));
            await().until(() -> peers.commands.size() == 1);
            Peers.Talk second = peers.client();
            second.ask(Peers.read(1));
            assertTrue(second.answer().startsWith("-ERR"));
            go.countDown();
            assertEquals("$5 value", first.answer());
            assertEquals(1, peers.commands.size());
        }
    }

    @Test
    void aConnectionThatNeverAsksIsClosedAndOneThatAskedStays() throws Exception {
        try (Peers peers = new Peers(SERVES)) {
            Peers.Talk asked = peers.client();
            asked.ask(Peers.read(1));
            assertEquals("$5 value", asked.answer());
            Peers.Talk silent = peers.client();
            Peers.Talk half = peers.client();
            half.say("*4\r\n$8\r\nBLK.RE");
            assertNull(silent.answer());
            assertNull(half.answer());
            asked.ask(Peers.read(2));
            assertEquals("$5 value", asked.answer());
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
    void aSpoiltAnswerIsNeverServedAndItsConnectionNeverUsedAgain(String spoilt) throws Exception {
        AtomicInteger asked = new AtomicInteger();
        try (Peers peers =
                new Peers(
                        (words, talk) ->
                                talk.say(asked.getAndIncrement() == 0 ? spoilt : Peers.VALUE))) {
            Peers.Talk client = peers.client();
            client.ask(Peers.read(1));
            assertEquals("$5 value", client.answer(), "by a second hop");
            assertEquals(2, peers.commands.size());
        }
    }

    @Test
    void anAnswerThatStopsInsideIsNotWaitedForToTheEnd() throws Exception {
        AtomicInteger asked = new AtomicInteger();
        try (Peers peers =
                new Peers(
                        (words, talk) ->
                                talk.say(
                                        asked.getAndIncrement() == 0
                                                ? Peers.VALUE.substring(0, 9)
                                                : Peers.VALUE))) {
            Peers.Talk client = peers.client();
            client.ask(Peers.read(1));
            assertEquals("$5 value", client.answer());
            assertEquals(2, peers.commands.size());
        }
    }

    @Test
    void aSecondCopyBehindAnAnswerIsNotTakenForTheNext() throws Exception {
        try (Peers peers =
                new Peers(
                        (words, talk) -> {
                            String answer = "*3\r\n$16\r\n" + words.get(2) + "\r\n$-1\r\n$-1\r\n";
                            talk.say(answer + answer);
                        })) {
            Peers.Talk client = peers.client();
            for (long id = 1; id <= 20; id++) {
                client.ask(Peers.read(id));
                assertEquals("$16 " + NumberParser.id(id), client.answer());
            }
        }
    }

    @Test
    void figuresThatCannotBeReadLeaveAGoodAnswerGood() throws Exception {
        try (Peers peers =
                new Peers(
                        (words, talk) ->
                                talk.say(
                                        "*3\r\n$5\r\nvalue\r\n$12\r\ncost=,used=x\r\n$3\r\n???\r\n"))) {
            Peers.Talk client = peers.client();
            client.ask(Peers.read(1));
            assertEquals("$5 value", client.answer());
        }
    }

    @Test
    void aClientThatClosesHasItsAttemptCalledOff() throws Exception {
        CountDownLatch ended = new CountDownLatch(1);
        try (Peers peers =
                new Peers(
                        (words, talk) -> {
                            if (talk.line() == null) {
                                ended.countDown();
                            }
                        })) {
            Peers.Talk client = peers.client();
            client.ask(Peers.read(1));
            await().until(() -> peers.commands.size() == 1);
            client.socket.close();
            ended.await();
        }
    }

    /**
     * Its command and its end lie in the kernel together, and a free connection to the node stands.
     */
    @Test
    void whatAClientAskedThatHasGoneIsNotSent() throws Exception {
        try (Peers peers = new Peers(SERVES)) {
            Peers.Talk good = peers.client();
            good.ask(Peers.read(1));
            assertEquals("$5 value", good.answer());
            for (int id = 10; id < 20; id++) {
                Peers.Talk gone = peers.client();
                CountDownLatch held = new CountDownLatch(1);
                CountDownLatch go = new CountDownLatch(1);
                peers.transport
                        .loops()
                        .next()
                        .execute(
                                () -> {
                                    held.countDown();
                                    try {
                                        go.await();
                                    } catch (InterruptedException e) {
                                        throw new IllegalStateException(e);
                                    }
                                });
                held.await();
                int port = gone.socket.getLocalPort();
                gone.ask(Peers.read(id));
                gone.socket.close();
                Kernel.awaitEnd(gone.socket.getPort(), port);
                go.countDown();
            }
            good.ask(Peers.read(2));
            assertEquals("$5 value", good.answer());
            assertEquals(
                    List.of(NumberParser.id(1), NumberParser.id(2)),
                    peers.commands.stream().map(words -> words.get(2)).toList());
        }
    }

    @Test
    void aGatewayThatIsToldToEndBeforeItIsReadyNeverListens() throws Exception {
        Transport transport = Transport.sockets();
        try {
            int port = WarmUpRun.freePort();
            InetSocketAddress nobody = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
            InetSocketAddress front = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
            RespGateway gateway =
                    new RespGateway(WarmUpRun.config(front, nobody, nobody), transport);
            gateway.stop();
            gateway.begin();
            gateway.start().join();
            gateway.ended().join();
            assertThrows(ConnectException.class, () -> new Socket().connect(front));
        } finally {
            transport.loops().shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
        }
    }

    /** Scheduler asks for none yet; what is written, and that any answer or none harms nobody. */
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
    void aProbeIsWrittenAsTheSettingsSayAndItsAnswerIsNotTakenForAnother(String answer)
            throws Exception {
        for (String fields : List.of("[]", "[\"mean_ms\"]")) {
            try (Peers peers =
                    new Peers(
                            (words, talk) ->
                                    talk.say(words.get(0).startsWith("BLK") ? Peers.VALUE : answer),
                            text ->
                                    text.replace(
                                            "\"how\": \"silent\", \"fields\": []",
                                            "\"how\": \"pull\", \"fields\": " + fields))) {
                peers.transport
                        .loops()
                        .next()
                        .submit(() -> peers.gateway.checkHealth(new Node(1)))
                        .get();
                await().until(() -> peers.commands.size() == 1);
                assertEquals(
                        fields.equals("[]") ? List.of("PING") : List.of("INFO", "load"),
                        peers.commands.get(0));
                Peers.Talk client = peers.client();
                client.ask(Peers.read(1));
                assertEquals("$5 value", client.answer());
            }
        }
    }

    @Test
    void aNodeThatClosesMidwayGetsTheOperationOnceMore() throws Exception {
        AtomicInteger asked = new AtomicInteger();
        try (Peers peers =
                new Peers(
                        (words, talk) -> {
                            if (asked.getAndIncrement() == 0) {
                                talk.socket.close();
                            } else {
                                talk.say(Peers.VALUE);
                            }
                        })) {
            Peers.Talk client = peers.client();
            client.ask(Peers.read(1));
            assertEquals("$5 value", client.answer());
        }
    }

    @Test
    void afterTheStopClientsAreServedOnTheirConnectionsUntilThoseEnd() throws Exception {
        try (Peers peers = new Peers(SERVES)) {
            Peers.Talk client = peers.client();
            client.ask(Peers.read(1));
            assertEquals("$5 value", client.answer());
            peers.gateway.stop();
            client.ask(Peers.read(2));
            assertEquals("$5 value", client.answer());
            assertNull(client.answer(), "closed when the time is up");
            peers.gateway.ended().join();
        }
    }

    @Test
    void whoConnectsAndSaysNothingLeavesRoomForThoseWhoAsk() throws Exception {
        try (Peers peers = new Peers(SERVES)) {
            // The configuration has 256 descriptors for all.
            for (int i = 0; i < 400; i++) {
                peers.client();
            }
            await().until(
                            () -> {
                                Peers.Talk client = peers.client();
                                try {
                                    client.ask(Peers.read(1));
                                    return "$5 value".equals(client.answer());
                                } catch (IOException turnedAway) {
                                    return false;
                                }
                            });
        }
    }

    @Test
    void sixtyMegabytesAtFullSpeedEndTheirOwnConnectionOnly() throws Exception {
        try (Peers peers = new Peers(SERVES)) {
            Peers.Talk good = peers.client();
            Peers.Talk bad = peers.client();
            byte[] chunk = new byte[1 << 20];
            try {
                bad.say(
                        "*5\r\n$9\r\nBLK.WRITE\r\n$16\r\n"
                                + NumberParser.id(7)
                                + "\r\n$16\r\n"
                                + NumberParser.id(1)
                                + "\r\n$1\r\nx\r\n$62914560\r\n");
                for (int i = 0; i < 60; i++) {
                    bad.socket.getOutputStream().write(chunk);
                }
                while (bad.in.read() >= 0) {
                    continue;
                }
            } catch (IOException closed) {
                // What is left unread makes the close a reset.
            }
            good.ask(Peers.read(5));
            assertEquals("$5 value", good.answer());
            assertEquals(1, peers.commands.size());
        }
    }

    @Test
    void aClientThatReadsNothingIsHeldUpAndThenClosed() throws Exception {
        String value = "*3\r\n$60000\r\n" + "v".repeat(60_000) + "\r\n$-1\r\n$-1\r\n";
        try (Peers peers = new Peers((words, talk) -> talk.say(value))) {
            Peers.Talk deaf = peers.client();
            int asked = 0;
            try {
                while (true) {
                    deaf.ask(Peers.read(++asked));
                    if (asked % 64 == 0) {
                        deaf.socket.getOutputStream().flush();
                    }
                }
            } catch (IOException closed) {
                // By the gateway, for it read nothing for long.
            }
            assertTrue(peers.commands.size() < asked, peers.commands.size() + " of " + asked);
            Peers.Talk good = peers.client();
            good.ask(Peers.read(Long.MAX_VALUE));
            assertTrue(good.answer().startsWith("$60000 "));
        }
    }

    private static void awaitQuietly(CountDownLatch latch) throws IOException {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }
}
