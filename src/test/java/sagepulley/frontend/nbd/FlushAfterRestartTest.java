package sagepulley.frontend.nbd;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import sagepulley.codec.nbd.NbdClient;
import sagepulley.codec.nbd.NbdConstants;
import sagepulley.codec.nbd.NbdReply;
import sagepulley.config.SiteConfig;
import sagepulley.discovery.directory.DirectoryMessages;
import sagepulley.standin.StandInNode;
import sagepulley.standin.TrafficRecorder;

/** Tests that a flush covers the writes that earlier incarnations of the gateway acknowledged. */
class FlushAfterRestartTest {
    private static final int BLOCK_BYTES = 4096;
    @TempDir private Path folder;

    private static int flush(NbdClient client) {
        return NbdTestFixture.error(
                client.request(NbdConstants.CMD_FLUSH, 0, 0, 0, Unpooled.EMPTY_BUFFER));
    }

    private static long offset(int write) {
        return write * 7L % 64 * NbdTestFixture.MIB + write * (long) BLOCK_BYTES;
    }

    private static byte[] block(int write) {
        return NbdTestFixture.randomBytes(write, BLOCK_BYTES);
    }

    private static void write(NbdClient client, int first, int count) {
        for (int i = first; i < first + count; i++) {
            assertEquals(0, NbdTestFixture.error(client.write(offset(i), block(i))));
        }
    }

    private static void failPower(NbdTestFixture fixture) {
        for (StandInNode node : fixture.cluster.nodes()) {
            NbdTestFixture.await(node.failPower());
            fixture.cluster.list(node, DirectoryMessages.Phase.READY);
        }
    }

    private static void assertDurable(NbdTestFixture fixture) {
        for (StandInNode node : fixture.cluster.nodes()) {
            assertFalse(
                    NbdTestFixture.await(node.hasUnflushedWrites()), "node " + node.profile().id());
        }
    }

    /** Waits until reads are served again, and compares the blocks with what was written. */
    private static void assertWritten(NbdClient client, int first, int count) {
        for (int i = first; i < first + count; i++) {
            long offset = offset(i);
            byte[][] data = new byte[1][];
            await().until(
                            () -> {
                                NbdReply reply =
                                        NbdTestFixture.await(client.read(offset, BLOCK_BYTES));
                                if (reply.error != 0) {
                                    return false;
                                }
                                data[0] = NbdTestFixture.data(reply);
                                return true;
                            });
            assertArrayEquals(block(i), data[0], "block " + i);
        }
    }

    /** Guards against a first flush that asks no node, as this incarnation has written nothing. */
    @ParameterizedTest
    @CsvSource({"1, 1, true", "1, 32, false", "5, 40, true", "3, 64, false"})
    void flushAfterRestartCoversEarlierWrites(int nodes, int writes, boolean killed)
            throws Exception {
        try (NbdTestFixture fixture = new NbdTestFixture(nodes)) {
            write(fixture.client(), 0, writes);
            NbdTestFixture.await(killed ? fixture.gateway.kill() : fixture.gateway.stop());
            NbdGateway restarted = fixture.cluster.open(fixture.site(0, 1), 2);
            NbdClient client = fixture.client(restarted, NbdClient.Style.GO);
            assertEquals(0, flush(client));
            assertDurable(fixture);
        }
    }

    /** Guards against a flush that covers this incarnation's writes only. */
    @Test
    void flushCoversEarlierWritesBesideOwnOnes() throws Exception {
        try (NbdTestFixture fixture = new NbdTestFixture(4)) {
            write(fixture.client(), 0, 20);
            NbdTestFixture.await(fixture.gateway.kill());
            NbdGateway second = fixture.cluster.open(fixture.site(0, 1), 2);
            write(fixture.client(second, NbdClient.Style.GO), 20, 3);
            NbdTestFixture.await(second.kill());
            NbdGateway third = fixture.cluster.open(fixture.site(0, 1), 3);
            NbdClient client = fixture.client(third, NbdClient.Style.GO);
            write(client, 23, 2);
            assertEquals(0, flush(client));
            assertDurable(fixture);
        }
    }

    /**
     * Guards against writes that an incarnation acknowledges in its shutdown, after the next one
     * has flushed.
     */
    @Test
    void writesAcknowledgedInTheShutdownAreDurable() throws Exception {
        try (NbdTestFixture fixture = new NbdTestFixture(4)) {
            NbdClient earlierClient = fixture.client();
            write(earlierClient, 0, 10);
            fixture.cluster.nodes().forEach(node -> node.pause(true));
            List<CompletableFuture<NbdReply>> inFlight = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                inFlight.add(earlierClient.write(offset(i % 10), block(i % 10)));
            }
            await().until(() -> fixture.gateway.counters().open() == 20);
            CompletableFuture<Void> stopped = fixture.gateway.stop();
            NbdTestFixture.await(fixture.gateway.nodes()); // the shutdown has begun
            fixture.cluster.nodes().forEach(node -> node.pause(false));
            int acknowledged = 0;
            for (CompletableFuture<NbdReply> write : inFlight) {
                acknowledged += NbdTestFixture.error(write) == 0 ? 1 : 0;
            }
            assertTrue(acknowledged > 0);
            assertDurable(fixture);
            NbdTestFixture.await(stopped);
        }
    }

    /** Guards against an acknowledged flush while a holder cannot be asked. */
    @Test
    void flushFailsWhileAHolderIsDown() throws Exception {
        try (NbdTestFixture fixture =
                new NbdTestFixture(2, TrafficRecorder.NO_OP, "patience = 4 s", "patience = 1 s")) {
            write(fixture.client(), 0, 40);
            NbdTestFixture.await(fixture.gateway.kill());
            StandInNode down = fixture.cluster.nodes().get(1);
            NbdTestFixture.await(down.stop());
            NbdGateway restarted =
                    fixture.cluster.open(
                            fixture.site(0, 1).replace("patience = 4 s", "patience = 1 s"), 2);
            NbdClient client = fixture.client(restarted, NbdClient.Style.GO);
            assertNotEquals(0, flush(client));
            fixture.cluster.restartCold(down);
            await().until(() -> flush(client) == 0);
            assertDurable(fixture);
        }
    }

    /** Guards against a flush that relies on the directory, or covers only what is on disk. */
    @Test
    void flushWithoutDirectoryCoversAllKnownNodes() throws Exception {
        try (NbdTestFixture fixture = new NbdTestFixture(4)) {
            String site =
                    fixture.site(0, 1)
                            + "\n[membership]\nlist = "
                            + folder.resolve("nodes")
                            + "\nholders = "
                            + folder.resolve("holders")
                            + "\n";
            NbdGateway first =
                    NbdTestFixture.await(new NbdGateway(SiteConfig.read("site", site), 2).start());
            NbdTestFixture.await(first.stop()); // stores the list, and no holders
            write(fixture.client(), 0, 30);
            NbdTestFixture.await(fixture.gateway.kill());
            NbdTestFixture.await(fixture.cluster.directory().stop());
            NbdGateway restarted = fixture.cluster.open(site, 3);
            NbdClient client = fixture.client(restarted, NbdClient.Style.GO);
            assertEquals(0, flush(client));
            NbdTestFixture.await(
                    fixture.cluster.directory().start(fixture.cluster.directory().address()));
            assertDurable(fixture);
        }
    }

    /** Guards against a loss that nobody is told of, and against one that is told of for good. */
    @Test
    void lossBeforeTheRestartIsReportedOnce() throws Exception {
        try (NbdTestFixture fixture = new NbdTestFixture(1)) {
            write(fixture.client(), 0, 4);
            NbdTestFixture.await(fixture.gateway.kill());
            failPower(fixture);
            NbdGateway restarted = fixture.cluster.open(fixture.site(0, 1), 2);
            NbdClient client = fixture.client(restarted, NbdClient.Style.GO);
            // While the node warms up, it may not be asked at all.
            AtomicInteger error = new AtomicInteger();
            await().until(
                            () -> {
                                error.set(flush(client));
                                return error.get() != NbdConstants.ENOMEM;
                            });
            assertEquals(NbdConstants.EIO, error.get());
            write(client, 0, 4);
            assertEquals(0, flush(client));
            failPower(fixture);
            assertWritten(client, 0, 4);
        }
    }
}
