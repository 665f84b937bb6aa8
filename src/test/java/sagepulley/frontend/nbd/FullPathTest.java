package sagepulley.frontend.nbd;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import sagepulley.codec.nbd.NbdClient;
import sagepulley.codec.nbd.NbdConstants;
import sagepulley.codec.nbd.NbdReply;

/** Exercises the path from an NBD client through the gateway to stand-in nodes and back. */
class FullPathTest {
    @ParameterizedTest
    @EnumSource(NbdClient.Style.class)
    void writtenDataIsReadBackInEveryStyle(NbdClient.Style style) throws Exception {
        try (NbdTestFixture fixture = new NbdTestFixture(3)) {
            NbdClient client = fixture.client(fixture.gateway, style);
            assertEquals(64L * NbdTestFixture.MIB, client.size());
            byte[] data = NbdTestFixture.randomBytes(1, 3 * NbdTestFixture.MIB);
            assertEquals(0, NbdTestFixture.error(client.write(NbdTestFixture.MIB / 2, data)));
            NbdReply reply = NbdTestFixture.await(client.read(NbdTestFixture.MIB / 2, data.length));
            assertEquals(0, reply.error);
            assertArrayEquals(data, NbdTestFixture.data(reply));
            // Unwritten ranges read as zeroes, also next to written data.
            assertArrayEquals(
                    new byte[4096],
                    NbdTestFixture.data(
                            NbdTestFixture.await(client.read(40L * NbdTestFixture.MIB, 4096))));
            byte[] edge =
                    NbdTestFixture.data(
                            NbdTestFixture.await(
                                    client.read(
                                            4L * NbdTestFixture.MIB - NbdTestFixture.MIB / 2 - 512,
                                            2 * NbdTestFixture.MIB)));
            assertArrayEquals(
                    java.util.Arrays.copyOfRange(data, data.length - 512, data.length),
                    java.util.Arrays.copyOf(edge, 512));
            assertArrayEquals(
                    new byte[512],
                    java.util.Arrays.copyOfRange(edge, edge.length - 512, edge.length));
        }
    }

    @Test
    void trimWriteZeroesFlushAndBlockStatus() throws Exception {
        try (NbdTestFixture fixture = new NbdTestFixture(3)) {
            NbdClient client = fixture.client();
            assertTrue(client.hasBaseAllocation());
            NbdTestFixture.await(
                    client.write(0, NbdTestFixture.randomBytes(2, 2 * NbdTestFixture.MIB)));
            assertEquals(
                    0,
                    NbdTestFixture.error(
                            client.request(
                                    NbdConstants.CMD_TRIM, 0, 4096, 4096, Unpooled.EMPTY_BUFFER)));
            assertEquals(
                    0,
                    NbdTestFixture.error(
                            client.request(
                                    NbdConstants.CMD_WRITE_ZEROES,
                                    NbdConstants.CMD_FLAG_FUA,
                                    NbdTestFixture.MIB,
                                    8192,
                                    Unpooled.EMPTY_BUFFER)));
            assertEquals(
                    0,
                    NbdTestFixture.error(
                            client.request(
                                    NbdConstants.CMD_FLUSH, 0, 0, 0, Unpooled.EMPTY_BUFFER)));
            assertArrayEquals(
                    new byte[4096],
                    NbdTestFixture.data(NbdTestFixture.await(client.read(4096, 4096))));
            assertArrayEquals(
                    new byte[8192],
                    NbdTestFixture.data(
                            NbdTestFixture.await(client.read(NbdTestFixture.MIB, 8192))));
            NbdReply status =
                    NbdTestFixture.await(
                            client.request(
                                    NbdConstants.CMD_BLOCK_STATUS,
                                    0,
                                    0,
                                    5 * NbdTestFixture.MIB,
                                    Unpooled.EMPTY_BUFFER));
            assertArrayEquals(
                    new int[] {
                        2 * NbdTestFixture.MIB,
                        0,
                        3 * NbdTestFixture.MIB,
                        NbdConstants.STATE_HOLE | NbdConstants.STATE_ZERO
                    },
                    status.blocks);
            // A power failure after the flush loses no data.
            fixture.cluster.nodes().forEach(node -> NbdTestFixture.await(node.failPower()));
            byte[] expected = NbdTestFixture.randomBytes(2, 4096);
            assertEquals(
                    0,
                    NbdTestFixture.error(
                            client.request(
                                    NbdConstants.CMD_FLUSH, 0, 0, 0, Unpooled.EMPTY_BUFFER)));
            org.awaitility.Awaitility.await()
                    .until(
                            () -> {
                                NbdReply reply = NbdTestFixture.await(client.read(0, 4096));
                                return reply.error == 0
                                        && java.util.Arrays.equals(
                                                expected, NbdTestFixture.data(reply));
                            });
        }
    }

    @Test
    void concurrentRequestsEachEndOnce() throws Exception {
        try (NbdTestFixture fixture = new NbdTestFixture(6)) {
            NbdClient client = fixture.client();
            java.util.List<java.util.concurrent.CompletableFuture<NbdReply>> writes =
                    new java.util.ArrayList<>();
            for (int i = 0; i < 512; i++) {
                writes.add(
                        client.write(i * 128L * 1024, NbdTestFixture.randomBytes(i, 128 * 1024)));
            }
            int served = 0;
            for (var write : writes) {
                served += NbdTestFixture.await(write).error == 0 ? 1 : 0;
            }
            assertEquals(512, fixture.gateway.counters().accepted.sum());
            assertEquals(0, fixture.gateway.counters().open());
            assertEquals(served, fixture.gateway.counters().served.sum());
            assertTrue(served > 0);
        }
    }
}
