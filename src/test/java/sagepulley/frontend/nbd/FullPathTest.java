package sagepulley.frontend.nbd;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import sagepulley.codec.nbd.Nbd;
import sagepulley.codec.nbd.NbdClient;
import sagepulley.codec.nbd.NbdReply;

/** From an NBD client through the gateway to stand-in nodes and back. */
class FullPathTest {
    @ParameterizedTest
    @EnumSource(NbdClient.Style.class)
    void whatIsWrittenIsReadInEveryStyle(NbdClient.Style style) throws Exception {
        try (Rig rig = new Rig(3)) {
            NbdClient client = rig.client(rig.gateway, style);
            assertEquals(64L * Rig.MIB, client.size());
            byte[] data = Rig.noise(1, 3 * Rig.MIB);
            assertEquals(0, Rig.error(client.write(Rig.MIB / 2, data)));
            NbdReply reply = Rig.await(client.read(Rig.MIB / 2, data.length));
            assertEquals(0, reply.error);
            assertArrayEquals(data, Rig.data(reply));
            // What was never written reads as zeroes, and beside what was.
            assertArrayEquals(
                    new byte[4096], Rig.data(Rig.await(client.read(40L * Rig.MIB, 4096))));
            byte[] edge =
                    Rig.data(Rig.await(client.read(4L * Rig.MIB - Rig.MIB / 2 - 512, 2 * Rig.MIB)));
            assertArrayEquals(
                    java.util.Arrays.copyOfRange(data, data.length - 512, data.length),
                    java.util.Arrays.copyOf(edge, 512));
            assertArrayEquals(
                    new byte[512],
                    java.util.Arrays.copyOfRange(edge, edge.length - 512, edge.length));
        }
    }

    @Test
    void trimZeroFlushAndStatus() throws Exception {
        try (Rig rig = new Rig(3)) {
            NbdClient client = rig.client();
            assertTrue(client.hasBaseAllocation());
            Rig.await(client.write(0, Rig.noise(2, 2 * Rig.MIB)));
            assertEquals(
                    0, Rig.error(client.ask(Nbd.CMD_TRIM, 0, 4096, 4096, Unpooled.EMPTY_BUFFER)));
            assertEquals(
                    0,
                    Rig.error(
                            client.ask(
                                    Nbd.CMD_WRITE_ZEROES,
                                    Nbd.CMD_FLAG_FUA,
                                    Rig.MIB,
                                    8192,
                                    Unpooled.EMPTY_BUFFER)));
            assertEquals(0, Rig.error(client.ask(Nbd.CMD_FLUSH, 0, 0, 0, Unpooled.EMPTY_BUFFER)));
            assertArrayEquals(new byte[4096], Rig.data(Rig.await(client.read(4096, 4096))));
            assertArrayEquals(new byte[8192], Rig.data(Rig.await(client.read(Rig.MIB, 8192))));
            NbdReply status =
                    Rig.await(
                            client.ask(
                                    Nbd.CMD_BLOCK_STATUS,
                                    0,
                                    0,
                                    5 * Rig.MIB,
                                    Unpooled.EMPTY_BUFFER));
            assertArrayEquals(
                    new int[] {2 * Rig.MIB, 0, 3 * Rig.MIB, Nbd.STATE_HOLE | Nbd.STATE_ZERO},
                    status.blocks);
            // A power failure after the flush loses nothing.
            rig.town.nodes().forEach(node -> Rig.await(node.powerFails()));
            byte[] kept = Rig.noise(2, 4096);
            assertEquals(0, Rig.error(client.ask(Nbd.CMD_FLUSH, 0, 0, 0, Unpooled.EMPTY_BUFFER)));
            org.awaitility.Awaitility.await()
                    .until(
                            () -> {
                                NbdReply reply = Rig.await(client.read(0, 4096));
                                return reply.error == 0
                                        && java.util.Arrays.equals(kept, Rig.data(reply));
                            });
        }
    }

    @Test
    void manyRequestsAtOnceAllEndOnce() throws Exception {
        try (Rig rig = new Rig(6)) {
            NbdClient client = rig.client();
            java.util.List<java.util.concurrent.CompletableFuture<NbdReply>> all =
                    new java.util.ArrayList<>();
            for (int i = 0; i < 512; i++) {
                all.add(client.write(i * 128L * 1024, Rig.noise(i, 128 * 1024)));
            }
            int satisfied = 0;
            for (var one : all) {
                satisfied += Rig.await(one).error == 0 ? 1 : 0;
            }
            assertEquals(512, rig.gateway.tally().taken.sum());
            assertEquals(0, rig.gateway.tally().open());
            assertEquals(satisfied, rig.gateway.tally().satisfied.sum());
            assertTrue(satisfied > 0);
        }
    }
}
