package sagepulley.frontend.nbd;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import sagepulley.codec.nbd.NbdClient;
import sagepulley.codec.nbd.NbdConstants;
import sagepulley.codec.nbd.NbdReply;
import sagepulley.standin.TrafficRecorder;

/**
 * Guards against requests of one client that silence the gateway for all: one that covers thousands
 * of extents, or thousands at once.
 */
@Timeout(60)
class RequestFloodTest {
    private static final long TRIM_BYTES = (4L << 30) - 4096;
    private static final long READ_DEADLINE_MILLIS = 2_500;
    private static final long WRITE_DEADLINE_MILLIS = 4_000;

    /** Time between threads of this machine. */
    private static final long SLACK_MILLIS = 500;

    private static NbdTestFixture largeVolume() throws Exception {
        return new NbdTestFixture(2, TrafficRecorder.NO_OP, "size = 64 MiB", "size = 512 GiB");
    }

    private static void assertReadsAreServedInTime(NbdClient client) throws Exception {
        for (int i = 0; i < 30; i++) {
            NbdReply reply = await(client.read(0, 4096), READ_DEADLINE_MILLIS);
            assertEquals(0, reply.error, reply.message);
            reply.release();
            Thread.sleep(50);
        }
    }

    private static NbdReply await(CompletableFuture<NbdReply> reply, long deadlineMillis)
            throws Exception {
        try {
            return reply.get(deadlineMillis + SLACK_MILLIS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException late) {
            return fail("no answer within " + deadlineMillis + " ms", late);
        }
    }

    @Test
    void trimsOfManyExtentsLeaveOtherClientsServed() throws Exception {
        try (NbdTestFixture fixture = largeVolume()) {
            NbdClient sound = fixture.client();
            assertEquals(0, NbdTestFixture.error(sound.write(0, new byte[4096])));
            NbdClient flooding = fixture.client();
            List<CompletableFuture<NbdReply>> trims = new ArrayList<>();
            long sentAt = System.nanoTime();
            for (int i = 0; i < 64; i++) {
                trims.add(
                        flooding.request(
                                NbdConstants.CMD_TRIM,
                                0,
                                4096 + i * (4L << 30),
                                (int) TRIM_BYTES,
                                Unpooled.EMPTY_BUFFER));
            }
            assertReadsAreServedInTime(sound);
            for (CompletableFuture<NbdReply> trim : trims) {
                long spentMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt);
                NbdReply reply = await(trim, Math.max(0, WRITE_DEADLINE_MILLIS - spentMillis));
                assertTrue(reply.error == 0 || reply.error == NbdConstants.ENOMEM, reply.message);
            }
            assertEquals(0, fixture.gateway.counters().open());
        }
    }

    @Test
    void manyReadsAtOnceLeaveOtherClientsServed() throws Exception {
        try (NbdTestFixture fixture = largeVolume()) {
            NbdClient sound = fixture.client();
            assertEquals(0, NbdTestFixture.error(sound.write(0, new byte[4096])));
            NbdClient flooding = fixture.client();
            List<CompletableFuture<NbdReply>> reads = new ArrayList<>();
            for (int i = 0; i < 20_000; i++) {
                reads.add(flooding.read(i * 4096L, 512));
            }
            assertReadsAreServedInTime(sound);
            for (CompletableFuture<NbdReply> read : reads) {
                await(read, READ_DEADLINE_MILLIS).release();
            }
        }
    }

    /** Guards against parts that are dispatched, or kept, for a client that has gone. */
    @Test
    void trimsOfAClientThatLeavesEnd() throws Exception {
        try (NbdTestFixture fixture = largeVolume()) {
            NbdClient leaving = fixture.client();
            for (int i = 0; i < 32; i++) {
                leaving.request(
                                NbdConstants.CMD_TRIM,
                                0,
                                i * (4L << 30),
                                (int) TRIM_BYTES,
                                Unpooled.EMPTY_BUFFER)
                        .exceptionally(closed -> null);
            }
            org.awaitility.Awaitility.await()
                    .until(() -> fixture.gateway.counters().accepted.sum() > 0);
            leaving.channel().close().syncUninterruptibly();
            org.awaitility.Awaitility.await()
                    .until(
                            () ->
                                    fixture.gateway.counters().open() == 0
                                            && fixture.gateway.bytesInFlight() == 0);
            NbdClient sound = fixture.client();
            assertEquals(0, NbdTestFixture.error(sound.write(0, new byte[4096])));
        }
    }
}
