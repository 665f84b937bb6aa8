package sagepulley.frontend.nbd;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import sagepulley.accounts.Cause;
import sagepulley.accounts.LatencyComponent;
import sagepulley.accounts.LatencyReport;
import sagepulley.codec.frame.EventLoops;
import sagepulley.codec.nbd.NbdClient;
import sagepulley.codec.nbd.NbdConstants;
import sagepulley.scenario.LocalCluster;
import sagepulley.standin.NodeProfile;
import sagepulley.standin.TrafficRecorder;

/** Verifies that the accounts attribute a volume's delay to the neighbour that floods the nodes. */
class AccountsPathTest {
    private static final String FLOOD_VOLUME =
            """

            [volume flood]
            id = 9
            size = 8 MiB
            plan = plain
            read-band = read
            write-band = write
            bulk-from = 16 MiB
            """;

    /** Sends a write, and another after each reply, until {@code stop} is set. */
    private static void flood(NbdClient client, int number, AtomicBoolean stop) {
        client.request(
                NbdConstants.CMD_WRITE,
                0,
                number % 64 * 131072L,
                131072,
                Unpooled.wrappedBuffer(new byte[131072]),
                (reply, failure) -> {
                    if (!stop.get() && failure == null) {
                        flood(client, number + 1, stop);
                    }
                });
    }

    private static NbdClient open(LocalCluster cluster, NbdGateway gateway, String volume) {
        return LocalCluster.await(
                NbdClient.open(
                        cluster.loops(),
                        EventLoops.socket(),
                        gateway.address(),
                        volume,
                        NbdClient.Style.GO));
    }

    @Test
    void accountsNameTheTenantThatCausedTheDelay() throws Exception {
        List<NodeProfile> profiles = new ArrayList<>();
        for (int i = 1; i <= 2; i++) {
            profiles.add(
                    new NodeProfile(
                            i,
                            i,
                            0,
                            0,
                            1,
                            8,
                            8,
                            256,
                            NbdTestFixture.MIB,
                            0.25,
                            10_000,
                            2,
                            2_000,
                            64,
                            0,
                            1_000,
                            null));
        }
        try (LocalCluster cluster = LocalCluster.start(profiles, TrafficRecorder.NO_OP, 2)) {
            NbdGateway gateway =
                    cluster.open(
                            LocalCluster.demoSite("gw", 0, 1, 0, cluster.directory().address())
                                    + FLOOD_VOLUME,
                            1);
            NbdClient victim = open(cluster, gateway, "demo");
            NbdClient neighbour = open(cluster, gateway, "flood");
            for (int i = 0; i < 4; i++) {
                NbdTestFixture.await(victim.write(i * (long) NbdTestFixture.MIB, new byte[4096]))
                        .release();
            }
            AtomicBoolean stop = new AtomicBoolean();
            for (int i = 0; i < 40; i++) {
                flood(neighbour, i, stop);
            }
            for (int i = 0; i < 60; i++) {
                NbdTestFixture.await(victim.read(i % 4 * (long) NbdTestFixture.MIB, 4096))
                        .release();
            }
            stop.set(true);
            Map<String, LatencyReport> reports = NbdTestFixture.await(gateway.accounts(60_000));
            LatencyReport report = reports.get("demo");
            assertEquals(64, report.operations());
            assertEquals(
                    Cause.Kind.NEIGHBOUR, report.mainCause().kind(), report.causes().toString());
            assertEquals(9, report.mainCause().volume());
            // The flooding volume is delayed by its own load.
            assertEquals(Cause.Kind.OWN_LOAD, reports.get("flood").mainCause().kind());
            assertTrue(reports.get("flood").components().containsKey(LatencyComponent.NODE_WORK));
            victim.channel().close();
            neighbour.channel().close();
        }
    }
}
