package sagepulley.frontend.nbd;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import sagepulley.codec.nbd.NbdClient;
import sagepulley.codec.nbd.NbdConstants;
import sagepulley.codec.nbd.NbdReply;
import sagepulley.config.SiteConfig;
import sagepulley.scenario.StallDetector;
import sagepulley.standin.StandInNode;
import sagepulley.standin.TrafficRecorder;

/**
 * Every fault of a node or directory: as many final answers as operations, all before patience
 * ends.
 */
class FaultsTest {
    /** What may go wrong, on one of three nodes. */
    enum Fault {
        SILENT((rig, node) -> node.faults().unresponsive = true),
        SLOW((rig, node) -> node.faults().slowdownFactor = 50),
        PAUSED((rig, node) -> node.pause(true)),
        REFUSING((rig, node) -> node.faults().rejecting = true),
        ERRING((rig, node) -> node.faults().errorShare = 0.5),
        LOSING((rig, node) -> node.faults().lostAnswerShare = 0.7),
        COLD((rig, node) -> rig.cluster.restartCold(node)),
        DRAINING((rig, node) -> rig.cluster.drain(node)),
        CUT((rig, node) -> node.closeConnections()),
        HALF_CLOSED((rig, node) -> node.faults().halfCloseNextAnswer = true),
        GARBLED((rig, node) -> node.faults().garbleNextAnswer = true),
        TWICE((rig, node) -> node.faults().duplicateNextAnswer = true),
        INVENTED((rig, node) -> node.faults().answerUnknownAttempt = true),
        GONE((rig, node) -> NbdTestFixture.await(node.stop())),
        UNREACHABLE(
                (rig, node) -> {
                    node.faults().unreachable = true;
                    node.closeConnections();
                }),
        DIRECTORY_DOWN((rig, node) -> NbdTestFixture.await(rig.cluster.directory().stop())),
        DIRECTORY_SILENT((rig, node) -> rig.cluster.directory().setUnresponsive(true)),
        DIRECTORY_FAILING((rig, node) -> rig.cluster.directory().setFailing(true)),
        DIRECTORY_RESTARTED((rig, node) -> NbdTestFixture.await(rig.cluster.directory().restart()));

        @SuppressWarnings("ImmutableEnumChecker")
        // a lambda without state

        final BiConsumer<NbdTestFixture, StandInNode> begin;

        Fault(BiConsumer<NbdTestFixture, StandInNode> begin) {
            this.begin = begin;
        }
    }

    /** Of one request: when it went, what came, and when. */
    private record TimedReply(long sent, long ended, NbdReply reply) {
        double took() {
            return (ended - sent) / 1e6;
        }
    }

    private static CompletableFuture<TimedReply> ask(NbdClient client, int i) {
        long sent = System.nanoTime();
        long offset = i * 37L % 128 * (NbdTestFixture.MIB / 2);
        CompletableFuture<NbdReply> reply =
                i % 2 == 0 ? client.read(offset, 16384) : client.write(offset, new byte[16384]);
        return reply.thenApply(
                answer -> {
                    TimedReply timed = new TimedReply(sent, System.nanoTime(), answer);
                    answer.release();
                    return timed;
                });
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void eachOperationGetsOneAnswerBeforeItsDeadline(Fault fault) throws Exception {
        // Patience is a second, so that each fault outlasts it.

        try (StallDetector machine = new StallDetector();
                NbdTestFixture rig =
                        new NbdTestFixture(
                                3, TrafficRecorder.NO_OP, "patience = 4 s", "patience = 1 s")) {
            machine.watch(rig.cluster.loops());
            NbdClient client = rig.client();
            for (int i = 0; i < 32; i++) {
                NbdTestFixture.await(client.write(i * 2L * NbdTestFixture.MIB, new byte[4096]));
            }
            fault.begin.accept(rig, rig.cluster.nodes().get(0));
            List<CompletableFuture<TimedReply>> asked = new ArrayList<>();
            for (int i = 0; i < 200; i++) {
                asked.add(ask(client, i));
                Thread.sleep(2);
                // a pace, not a bound: nothing below depends on it

            }
            for (CompletableFuture<TimedReply> one : asked) {
                NbdTestFixture.await(one);
            }
            int satisfied = 0;
            for (CompletableFuture<TimedReply> one : asked) {
                satisfied += one.join().reply().error == 0 ? 1 : 0;
                // Reads have a patience of 2.5 s, writes of 1 s, besides what this machine stood

                // still.

                assertTrue(
                        one.join().took() < 2500 + 100 + machine.worstStallMillis(),
                        "took " + one.join().took());
            }
            Counters counters = rig.gateway.counters();
            assertEquals(0, counters.open());
            assertEquals(0, counters.cancelled.sum());
            assertEquals(200 + 32, counters.accepted.sum());
            assertEquals(32 + satisfied, counters.served.sum());
            assertEquals(200 - satisfied, counters.rejected.sum() + counters.abandoned.sum());
            assertTrue(satisfied >= 60, "only " + satisfied + " of 200 were satisfied");
            await().until(() -> rig.gateway.bytesInFlight() == 0);
        }
    }

    @Test
    void disconnectingClientLeaksNothing() throws Exception {
        try (NbdTestFixture rig = new NbdTestFixture(3)) {
            NbdClient other = rig.client();
            NbdTestFixture.await(other.write(0, new byte[NbdTestFixture.MIB]));
            rig.cluster.nodes().forEach(node -> node.faults().unresponsive = true);
            NbdClient leaver = rig.client();
            AtomicInteger ends = new AtomicInteger();
            for (int i = 0; i < 20; i++) {
                leaver.read(i * 1024L, 1024)
                        .whenComplete((reply, failure) -> ends.incrementAndGet());
            }
            await().until(() -> rig.gateway.counters().accepted.sum() >= 21);
            leaver.channel().close().syncUninterruptibly();
            await().until(() -> rig.gateway.counters().open() == 0 && ends.get() == 20);
            assertTrue(rig.gateway.counters().cancelled.sum() > 0);
            rig.cluster.nodes().forEach(node -> node.faults().unresponsive = false);
            await().until(() -> NbdTestFixture.error(other.read(0, 512)) == 0);
            await().until(() -> rig.gateway.bytesInFlight() == 0);
        }
    }

    @Test
    void failedPartIsReportedWithItsOffset() throws Exception {
        try (NbdTestFixture rig =
                new NbdTestFixture(3, TrafficRecorder.NO_OP, "patience = 4 s", "patience = 1 s")) {
            NbdClient client = rig.client();
            byte[] old = NbdTestFixture.noise(5, 4 * NbdTestFixture.MIB);
            assertEquals(0, NbdTestFixture.error(client.write(0, old)));
            StandInNode dead = rig.cluster.nodes().get(1);
            NbdTestFixture.await(dead.stop());
            byte[] fresh = NbdTestFixture.noise(6, 4 * NbdTestFixture.MIB);
            NbdReply reply = NbdTestFixture.await(client.write(0, fresh));
            assertTrue(
                    reply.error == NbdConstants.EIO || reply.error == NbdConstants.ENOMEM,
                    "error " + reply.error);
            assertTrue(
                    reply.message.startsWith("declined") || reply.message.startsWith("scrapped"));
            for (int extent = 0; extent < 4; extent++) {
                NbdReply read =
                        NbdTestFixture.await(client.read(extent * (long) NbdTestFixture.MIB, 4096));
                boolean failed = reply.errorOffsets.contains(extent * (long) NbdTestFixture.MIB);
                // What is reported as failed lies on the dead node; the rest is written.

                assertEquals(failed, read.error != 0);
                if (!failed) {
                    assertTrue(
                            java.util.Arrays.equals(
                                    java.util.Arrays.copyOfRange(
                                            fresh,
                                            extent * NbdTestFixture.MIB,
                                            extent * NbdTestFixture.MIB + 4096),
                                    NbdTestFixture.data(read)));
                }
            }
        }
    }

    /** Writes until it is served: a rejected write may be retried. */
    private static CompletableFuture<Void> asked(NbdClient client, long at, byte[] data) {
        return client.write(at, data)
                .thenCompose(
                        reply -> {
                            assertTrue(
                                    reply.error == 0 || reply.error == NbdConstants.ENOMEM,
                                    reply.message);
                            return reply.error == 0
                                    ? CompletableFuture.<Void>completedFuture(null)
                                    : asked(client, at, data);
                        });
    }

    @Test
    void concurrentFirstWritesEndWithOneHolder() throws Exception {
        try (NbdTestFixture rig = new NbdTestFixture(6)) {
            NbdGateway second = rig.cluster.open(rig.site(1, 2), 2);
            NbdClient a = rig.client();
            NbdClient b = rig.client(second, NbdClient.Style.GO);
            for (int extent = 0; extent < 40; extent++) {
                long at = extent * (long) NbdTestFixture.MIB;
                byte[] one = NbdTestFixture.noise(extent, 8192);
                byte[] two = NbdTestFixture.noise(1000 + extent, 8192);
                // The second half of the extent comes through both as well, at the same moment.

                var all =
                        List.of(
                                asked(a, at, one),
                                asked(b, at, two),
                                asked(a, at + 65536, one),
                                asked(b, at + 131072, two));
                all.forEach(NbdTestFixture::await);
                byte[] seenA = NbdTestFixture.data(NbdTestFixture.await(a.read(at, 8192)));
                byte[] seenB = NbdTestFixture.data(NbdTestFixture.await(b.read(at, 8192)));
                assertTrue(java.util.Arrays.equals(seenA, seenB));
                assertTrue(
                        java.util.Arrays.equals(seenA, one) || java.util.Arrays.equals(seenA, two));
                assertTrue(
                        java.util.Arrays.equals(
                                one,
                                NbdTestFixture.data(
                                        NbdTestFixture.await(b.read(at + 65536, 8192)))));
                assertTrue(
                        java.util.Arrays.equals(
                                two,
                                NbdTestFixture.data(
                                        NbdTestFixture.await(a.read(at + 131072, 8192)))));
            }
            assertEquals(40, NbdTestFixture.await(rig.cluster.directory().counts())[0]);
        }
    }

    @Test
    void unresponsiveDirectoryRejectsFirstWritesOnly() throws Exception {
        try (NbdTestFixture rig =
                new NbdTestFixture(3, TrafficRecorder.NO_OP, "patience = 4 s", "patience = 1 s")) {
            NbdClient client = rig.client();
            NbdTestFixture.await(client.write(0, new byte[4096]));
            rig.cluster.directory().setUnresponsive(true);
            var one = client.write(10L * NbdTestFixture.MIB, new byte[4096]);
            var two = client.write(10L * NbdTestFixture.MIB, new byte[4096]);
            assertEquals(0, NbdTestFixture.error(client.read(0, 4096)));
            assertEquals(NbdConstants.ENOMEM, NbdTestFixture.await(one).error);
            assertEquals(NbdConstants.ENOMEM, NbdTestFixture.await(two).error);
            rig.cluster.directory().setUnresponsive(false);
            await().until(
                            () ->
                                    NbdTestFixture.error(
                                                    client.write(
                                                            10L * NbdTestFixture.MIB,
                                                            new byte[4096]))
                                            == 0);
            assertEquals(0, NbdTestFixture.error(client.read(10L * NbdTestFixture.MIB, 4096)));
        }
    }

    @Test
    void gatewayStartedWithoutDirectoryBecomesReadyOnceItAnswers() throws Exception {
        try (NbdTestFixture rig = new NbdTestFixture(2)) {
            rig.cluster.directory().setUnresponsive(true);
            NbdGateway second = new NbdGateway(SiteConfig.read("second", rig.site(1, 2)), 5);
            CompletableFuture<NbdGateway> ready = second.start();
            Thread.sleep(300);
            // time for its call to be swallowed; what follows holds either way

            assertTrue(!ready.isDone());
            rig.cluster.directory().setUnresponsive(false);
            NbdTestFixture.await(ready);
            NbdClient client = rig.client(second, NbdClient.Style.GO);
            assertEquals(0, NbdTestFixture.error(client.write(0, new byte[4096])));
            client.channel().close().syncUninterruptibly();
            NbdTestFixture.await(second.stop());
        }
    }

    @Test
    void gracefulShutdownAnswersRequestsInFlight() throws Exception {
        try (NbdTestFixture rig = new NbdTestFixture(3)) {
            NbdClient client = rig.client();
            NbdTestFixture.await(client.write(0, new byte[4096]));
            rig.cluster.nodes().forEach(node -> node.faults().unresponsive = true);
            List<CompletableFuture<NbdReply>> asked = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                asked.add(client.read(0, 4096));
            }
            await().until(() -> rig.gateway.counters().open() == 10);
            CompletableFuture<Void> stopped = rig.gateway.stop();
            // Asked on the gateway's loop behind the stop: what comes after this cannot overtake

            // it.

            NbdTestFixture.await(rig.gateway.nodes());
            asked.add(client.request(NbdConstants.CMD_READ, 0, 0, 512, Unpooled.EMPTY_BUFFER));
            for (var one : asked) {
                assertTrue(NbdTestFixture.await(one).error != 0);
            }
            assertEquals(NbdConstants.ESHUTDOWN, asked.get(10).join().error);
            NbdTestFixture.await(stopped);
            assertEquals(0, rig.gateway.counters().open());
        }
    }

    @Test
    void killedGatewayLosesNoAcknowledgedWrite() throws Exception {
        try (NbdTestFixture rig = new NbdTestFixture(4)) {
            NbdClient client = rig.client();
            List<Integer> acknowledged = new ArrayList<>();
            for (int i = 0; i < 200; i++) {
                int number = i;
                client.write(i * 65536L, NbdTestFixture.noise(i, 4096))
                        .thenAccept(
                                reply -> {
                                    if (reply.error == 0) {
                                        synchronized (acknowledged) {
                                            acknowledged.add(number);
                                        }
                                    }
                                });
            }
            await().until(
                            () -> {
                                synchronized (acknowledged) {
                                    return acknowledged.size() > 50;
                                }
                            });
            NbdTestFixture.await(rig.gateway.kill());
            NbdGateway again = rig.cluster.open(rig.site(0, 1), 99);
            NbdClient back = rig.client(again, NbdClient.Style.GO);
            List<Integer> kept;
            synchronized (acknowledged) {
                kept = List.copyOf(acknowledged);
            }
            for (int i : kept) {
                assertTrue(
                        java.util.Arrays.equals(
                                NbdTestFixture.noise(i, 4096),
                                NbdTestFixture.data(
                                        NbdTestFixture.await(back.read(i * 65536L, 4096)))));
            }
        }
    }
}
