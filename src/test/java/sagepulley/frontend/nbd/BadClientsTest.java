package sagepulley.frontend.nbd;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import sagepulley.codec.nbd.NbdClient;
import sagepulley.codec.nbd.NbdConstants;
import sagepulley.codec.nbd.NbdReply;
import sagepulley.standin.TrafficRecorder;

/**
 * Verifies that invalid requests, malformed bytes and slow readers affect only their own
 * connection.
 */
class BadClientsTest {
    @ParameterizedTest
    @CsvSource({
        // command, flags, offset, length, error
        "0, 0, 67108864, 512, 22",
        "0, 0, 67108352, 1024, 22",
        "0, 0, -512, 1024, 22",
        "0, 0, 9223372036854775296, 1024, 22",
        "0, 0, 0, 0, 22",
        "0, 0, 100, 512, 22",
        "0, 0, 0, 100, 22",
        "0, 0, 0, 33555456, 75",
        "0, 1024, 0, 512, 22",
        "0, 2, 0, 512, 22",
        "4, 0, 67108864, 512, 22",
        "6, 0, 67108352, 1024, 28",
        "6, 4, 0, 512, 22",
        "3, 0, 0, 512, 22",
        "5, 0, 0, 512, 22",
        "7, 0, 0, 0, 22",
        "99, 0, 0, 0, 22",
    })
    void invalidRequestGetsItsErrorAndOthersContinue(
            int command, int flags, long offset, int length, int error) throws Exception {
        try (NbdTestFixture fixture = new NbdTestFixture(1)) {
            NbdClient client = fixture.client();
            assertEquals(
                    error,
                    NbdTestFixture.error(
                            client.request(command, flags, offset, length, Unpooled.EMPTY_BUFFER)));
            assertEquals(0, NbdTestFixture.error(client.read(0, 512)));
            // The reply can reach the client before the gateway's write listener releases the
            // budget.
            await().until(() -> fixture.gateway.bytesInFlight() == 0);
        }
    }

    @Test
    void writesOutOfRangeTooLongOrToReadOnlyExportsFail() throws Exception {
        try (NbdTestFixture fixture =
                new NbdTestFixture(1, TrafficRecorder.NO_OP, "most-request", "; most-request")) {
            NbdClient client = fixture.client();
            assertEquals(
                    NbdConstants.ENOSPC,
                    NbdTestFixture.error(client.write(64L * NbdTestFixture.MIB, new byte[512])));
            assertEquals(
                    NbdConstants.EINVAL,
                    NbdTestFixture.error(client.write(0, new byte[33 * NbdTestFixture.MIB])));
            assertEquals(0, NbdTestFixture.error(client.write(0, new byte[512])));
        }
        try (NbdTestFixture fixture =
                new NbdTestFixture(
                        1,
                        TrafficRecorder.NO_OP,
                        "size = 64 MiB",
                        "size = 64 MiB\nread-only = yes")) {
            NbdClient client = fixture.client();
            assertTrue((client.flags() & NbdConstants.READ_ONLY) != 0);
            assertEquals(NbdConstants.EPERM, NbdTestFixture.error(client.write(0, new byte[512])));
            assertEquals(
                    NbdConstants.EPERM,
                    NbdTestFixture.error(
                            client.request(
                                    NbdConstants.CMD_TRIM, 0, 0, 512, Unpooled.EMPTY_BUFFER)));
        }
    }

    /**
     * Returns the first bytes of a valid session: client flags and NBD_OPT_EXPORT_NAME for 'demo'.
     */
    private static byte[] openingBytes() {
        return ByteBuffer.allocate(24)
                .putInt(3)
                .putLong(NbdConstants.IHAVEOPT)
                .putInt(NbdConstants.OPT_EXPORT_NAME)
                .putInt(4)
                .put("demo".getBytes(UTF_8))
                .array();
    }

    private static Socket connect(NbdTestFixture fixture) throws IOException {
        return new Socket(
                fixture.gateway.address().getAddress(), fixture.gateway.address().getPort());
    }

    @Test
    void clientsThatDisconnectAnywhereLeakNothing() throws Exception {
        try (NbdTestFixture fixture = new NbdTestFixture(2)) {
            NbdClient otherClient = fixture.client();
            byte[] write =
                    ByteBuffer.allocate(28 + 4096)
                            .putInt(NbdConstants.REQUEST_MAGIC)
                            .putShort((short) 0)
                            .putShort((short) NbdConstants.CMD_WRITE)
                            .putLong(1)
                            .putLong(0)
                            .putInt(4096)
                            .array();
            byte[] sessionBytes =
                    ByteBuffer.allocate(24 + write.length).put(openingBytes()).put(write).array();
            for (int length = 0; length <= sessionBytes.length; length += length < 60 ? 1 : 512) {
                try (Socket socket = connect(fixture)) {
                    socket.getOutputStream().write(sessionBytes, 0, length);
                }
            }
            await().until(
                            () ->
                                    fixture.gateway.counters().clients.sum() - 1
                                            == fixture.gateway.counters().clientsEnded.sum());
            await().until(() -> fixture.gateway.bytesInFlight() == 0);
            assertEquals(0, NbdTestFixture.error(otherClient.read(0, 4096)));
        }
    }

    @Test
    void malformedBytesEndOnlyTheirConnection() throws Exception {
        try (NbdTestFixture fixture = new NbdTestFixture(1)) {
            NbdClient otherClient = fixture.client();
            Random random = new Random(3);
            for (int i = 0; i < 60; i++) {
                byte[] randomBytes = new byte[2000];
                random.nextBytes(randomBytes);
                try (Socket socket = connect(fixture)) {
                    if (i % 2 == 0) {
                        socket.getOutputStream().write(openingBytes());
                    }
                    socket.getOutputStream().write(randomBytes);
                    socket.shutdownOutput();
                    while (socket.getInputStream().read() >= 0) {
                        // Reads until the gateway closes the connection.
                    }
                } catch (IOException reset) {
                    // A connection reset is accepted as well.
                }
            }
            assertEquals(0, NbdTestFixture.error(otherClient.read(0, 512)));
            await().until(() -> fixture.gateway.bytesInFlight() == 0);
        }
    }

    @Test
    void clientThatReadsNoRepliesStaysWithinItsBudget() throws Exception {
        // The budget is 8 MiB per client and 16 MiB in total.
        try (NbdTestFixture fixture =
                new NbdTestFixture(
                        3,
                        TrafficRecorder.NO_OP,
                        "[site]",
                        "client-bytes = 8 MiB\nall-bytes = 16 MiB\nmost-request = 4 MiB\n[site]")) {
            NbdClient otherClient = fixture.client();
            NbdTestFixture.await(otherClient.write(0, new byte[4 * NbdTestFixture.MIB]));
            try (Socket nonReading = connect(fixture)) {
                nonReading.getOutputStream().write(openingBytes());
                DataInputStream in = new DataInputStream(nonReading.getInputStream());
                in.readFully(new byte[28]);
                byte[] read =
                        ByteBuffer.allocate(28)
                                .putInt(NbdConstants.REQUEST_MAGIC)
                                .putShort((short) 0)
                                .putShort((short) NbdConstants.CMD_READ)
                                .putLong(1)
                                .putLong(0)
                                .putInt(NbdTestFixture.MIB)
                                .array();
                for (int i = 0; i < 200; i++) {
                    nonReading.getOutputStream().write(read);
                }
                for (int i = 0; i < 50; i++) {
                    assertEquals(0, NbdTestFixture.error(otherClient.read(0, 65536)));
                }
                assertTrue(fixture.gateway.maxBytesInFlight() <= 16L * NbdTestFixture.MIB);
                assertTrue(fixture.gateway.bytesInFlight() <= 8L * NbdTestFixture.MIB + 8192);
            }
            await().until(() -> fixture.gateway.bytesInFlight() == 0);
        }
    }

    @Test
    void largeWritesStayWithinTheBudgetAndOthersContinue() throws Exception {
        try (NbdTestFixture fixture =
                new NbdTestFixture(
                        3,
                        TrafficRecorder.NO_OP,
                        "[site]",
                        "client-bytes = 40 MiB\nall-bytes = 64 MiB\n[site]")) {
            NbdClient otherClient = fixture.client();
            NbdClient floodingClient = fixture.client();
            byte[] maxRequestData = new byte[32 * NbdTestFixture.MIB];
            List<java.util.concurrent.CompletableFuture<NbdReply>> writes = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                writes.add(floodingClient.write(0, maxRequestData));
            }
            for (int i = 0; i < 30; i++) {
                NbdReply reply =
                        NbdTestFixture.await(otherClient.read(48L * NbdTestFixture.MIB, 4096));
                assertEquals(0, reply.error);
                reply.release();
            }
            writes.forEach(NbdTestFixture::await);
            assertTrue(fixture.gateway.maxBytesInFlight() <= 64L * NbdTestFixture.MIB);
            await().until(() -> fixture.gateway.bytesInFlight() == 0);
        }
    }
}
