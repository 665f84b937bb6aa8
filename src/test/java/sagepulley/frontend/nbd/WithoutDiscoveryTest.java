package sagepulley.frontend.nbd;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import sagepulley.codec.nbd.NbdClient;
import sagepulley.codec.nbd.NbdConstants;
import sagepulley.codec.nbd.NbdReply;
import sagepulley.config.SiteConfig;
import sagepulley.membership.EndpointRecord;
import sagepulley.membership.ListFreshness;
import sagepulley.membership.StoredEndpointList;
import sagepulley.persistence.EndpointListFile;
import sagepulley.persistence.HolderFile;

/** Gateways that start, run and go on while the directory is down. */
class WithoutDiscoveryTest {
    private static final String SITE = "sagepulley";
    @TempDir private Path folder;

    private String site(NbdTestFixture rig) {
        return rig.site(0, 1)
                + "\n[membership]\nlist = "
                + folder.resolve("nodes")
                + "\nholders = "
                + folder.resolve("holders")
                + "\n";
    }

    /** A gateway's first life: some extents get holders, and all is kept. */
    private String firstLife(NbdTestFixture rig) throws Exception {
        String site = site(rig);
        NbdGateway first =
                NbdTestFixture.await(new NbdGateway(SiteConfig.read("site", site), 11).start());
        NbdClient client = rig.client(first, NbdClient.Style.GO);
        for (int i = 0; i < 6; i++) {
            NbdTestFixture.await(
                            client.write(
                                    i * (long) NbdTestFixture.MIB, NbdTestFixture.noise(i, 4096)))
                    .release();
        }
        NbdTestFixture.await(first.stop());
        return site;
    }

    /** Makes the kept list as if it had last been confirmed so long ago. */
    private void age(double by) throws Exception {
        EndpointListFile file = new EndpointListFile(folder.resolve("nodes"), SITE);
        StoredEndpointList list = file.inspect().list();
        file.write(
                new StoredEndpointList(
                        list.site(),
                        list.history(),
                        list.version(),
                        list.confirmedAt() - (long) by,
                        list.endpoints()),
                System.currentTimeMillis());
    }

    private static NbdGateway start(String site, long seed) throws Exception {
        return NbdTestFixture.await(new NbdGateway(SiteConfig.read("site", site), seed).start());
    }

    private static void reads(NbdClient client) {
        for (int i = 0; i < 6; i++) {
            NbdReply reply = NbdTestFixture.await(client.read(i * (long) NbdTestFixture.MIB, 4096));
            assertEquals(0, reply.error, "extent " + i);
            assertArrayEquals(NbdTestFixture.noise(i, 4096), NbdTestFixture.data(reply));
            reply.release();
        }
    }

    @Test
    void startsWithStoredListOfAnyAgeAndReadsKnownExtents() throws Exception {
        try (NbdTestFixture rig = new NbdTestFixture(3)) {
            String site = firstLife(rig);
            NbdTestFixture.await(rig.cluster.directory().stop());
            double[] ages = {60_000, 3_600_000, 7 * 86_400_000.0};
            ListFreshness[] trusts = {ListFreshness.FRESH, ListFreshness.AGED, ListFreshness.OLD};
            for (int i = 0; i < ages.length; i++) {
                age(ages[i]);
                NbdGateway again = start(site, 20 + i);
                assertEquals(trusts[i], NbdTestFixture.await(again.nodes()).trust());
                reads(rig.client(again, NbdClient.Style.GO));
                NbdTestFixture.await(again.kill());
            }
        }
    }

    @Test
    void drainingNodeAnnouncesItInHandshakeAndGetsNoAttempts() throws Exception {
        try (NbdTestFixture rig = new NbdTestFixture(3)) {
            String site = firstLife(rig);
            NbdTestFixture.await(rig.cluster.directory().stop());
            rig.cluster.nodes().get(0).drain();
            age(60_000);
            NbdGateway again = start(site, 30);
            long before = again.counters().attempts.sum();
            NbdClient client = rig.client(again, NbdClient.Style.GO);
            List<CompletableFuture<NbdReply>> all = new java.util.ArrayList<>();
            for (int i = 0; i < 6; i++) {
                all.add(client.read(i * (long) NbdTestFixture.MIB, 4096));
            }
            for (CompletableFuture<NbdReply> one : all) {
                NbdTestFixture.await(one).release();
            }
            assertTrue(again.counters().attempts.sum() > before);
            NodesView view = NbdTestFixture.await(again.nodes());
            assertEquals(
                    EndpointRecord.Phase.DRAINING,
                    view.nodes().get(0).phase(),
                    view.nodes().get(0).reason());
            NbdTestFixture.await(again.kill());
        }
    }

    @Test
    void firstWritesAreRejectedUntilTheDirectoryIsReachable() throws Exception {
        try (NbdTestFixture rig = new NbdTestFixture(3)) {
            String site = firstLife(rig);
            NbdTestFixture.await(rig.cluster.directory().stop());
            NbdGateway again = start(site, 40);
            NbdClient client = rig.client(again, NbdClient.Style.GO);
            assertEquals(
                    NbdConstants.ENOMEM,
                    NbdTestFixture.error(
                            client.write(
                                    40L * NbdTestFixture.MIB, NbdTestFixture.noise(40, 4096))));
            long attempts = again.counters().attempts.sum();
            assertEquals(
                    0,
                    NbdTestFixture.error(client.write(0, NbdTestFixture.noise(0, 4096))),
                    "a known extent is written");
            assertEquals(attempts + 1, again.counters().attempts.sum());
            NbdTestFixture.await(rig.cluster.directory().restart());
            await().until(
                            () -> {
                                NbdReply reply =
                                        NbdTestFixture.await(
                                                client.write(
                                                        40L * NbdTestFixture.MIB,
                                                        NbdTestFixture.noise(40, 4096)));
                                reply.release();
                                return reply.error == 0;
                            });
            assertEquals(ListFreshness.FRESH, NbdTestFixture.await(again.nodes()).trust());
            NbdTestFixture.await(again.kill());
        }
    }

    @Test
    void wrongStoredHolderDeniesAndRightOneIsFound() throws Exception {
        try (NbdTestFixture rig = new NbdTestFixture(3)) {
            String site = firstLife(rig);
            HolderFile file = new HolderFile(folder.resolve("holders"), SITE);
            int[] cells = file.load().get(1);
            int[] wrong = cells.clone();
            for (int i = 0; i < 6; i++) {
                wrong[i] = 1 + cells[i] % 3;
            }
            file.write(java.util.Map.of(1, wrong), System.currentTimeMillis());
            NbdGateway again = start(site, 50);
            reads(rig.client(again, NbdClient.Style.GO));
            assertTrue(
                    again.counters().notExecuted.sum() >= 6,
                    "each was denied once: " + again.counters().notExecuted.sum());
            NbdTestFixture.await(again.stop());
            assertArrayEquals(
                    Arrays.copyOf(cells, 6), Arrays.copyOf(file.load().get(1), 6), "and corrected");
        }
    }

    @Test
    void tornListFallsBackAndListOfAnotherSiteIsIgnored() throws Exception {
        try (NbdTestFixture rig = new NbdTestFixture(3)) {
            String site = firstLife(rig);
            age(0); // writes a second generation
            Path file = folder.resolve("nodes");
            byte[] whole = Files.readAllBytes(file);
            Files.write(file, Arrays.copyOf(whole, whole.length / 3));
            NbdTestFixture.await(rig.cluster.directory().stop());
            NbdGateway again = start(site, 60);
            reads(rig.client(again, NbdClient.Style.GO));
            assertTrue(Files.exists(folder.resolve("nodes.set-aside")));
            NbdTestFixture.await(again.kill());
            NbdTestFixture.await(rig.cluster.directory().restart());
            String other = site.replace("[site]", "[site]\nname = elsewhere");
            NbdGateway elsewhere = start(other, 61);
            NodesView view = NbdTestFixture.await(elsewhere.nodes());
            assertEquals(3, view.nodes().size(), "told by the directory, not by the file");
            assertEquals(0, view.unverifiedExtents());
            NbdTestFixture.await(elsewhere.kill());
        }
    }

    @Test
    void listOfAnotherSiteOrEmptyListChangesNothing() throws Exception {
        try (NbdTestFixture rig = new NbdTestFixture(3)) {
            String site = firstLife(rig);
            NbdGateway again = start(site, 70);
            NbdClient client = rig.client(again, NbdClient.Style.GO);
            NbdTestFixture.await(rig.cluster.directory().stop());
            NbdTestFixture.await(rig.cluster.directory().replaceWith("another", 9, 1, List.of()));
            NbdTestFixture.await(rig.cluster.directory().restart());
            long lists = rig.cluster.directory().completeLists();
            await().until(() -> rig.cluster.directory().completeLists() > lists);
            reads(client);
            NbdTestFixture.await(again.kill());
        }
    }
}
