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

/**
 * Verifies that gateways start and serve known extents from stored state while the directory is
 * down.
 */
class WithoutDiscoveryTest {
    private static final String SITE = "sagepulley";
    @TempDir private Path tempDir;

    private String site(NbdTestFixture fixture) {
        return fixture.site(0, 1)
                + "\n[membership]\nlist = "
                + tempDir.resolve("nodes")
                + "\nholders = "
                + tempDir.resolve("holders")
                + "\n";
    }

    /**
     * Runs a gateway that writes six extents and stores its state at shutdown. Returns its site
     * file.
     */
    private String runFirstIncarnation(NbdTestFixture fixture) throws Exception {
        String site = site(fixture);
        NbdGateway first =
                NbdTestFixture.await(new NbdGateway(SiteConfig.read("site", site), 11).start());
        NbdClient client = fixture.client(first, NbdClient.Style.GO);
        for (int i = 0; i < 6; i++) {
            NbdTestFixture.await(
                            client.write(
                                    i * (long) NbdTestFixture.MIB,
                                    NbdTestFixture.randomBytes(i, 4096)))
                    .release();
        }
        NbdTestFixture.await(first.stop());
        return site;
    }

    /** Moves the confirmation time of the stored list back by the given milliseconds. */
    private void ageStoredList(double millis) throws Exception {
        EndpointListFile file = new EndpointListFile(tempDir.resolve("nodes"), SITE);
        StoredEndpointList list = file.inspect().list();
        file.write(
                new StoredEndpointList(
                        list.site(),
                        list.history(),
                        list.version(),
                        list.confirmedAt() - (long) millis,
                        list.endpoints()),
                System.currentTimeMillis());
    }

    private static NbdGateway start(String site, long seed) throws Exception {
        return NbdTestFixture.await(new NbdGateway(SiteConfig.read("site", site), seed).start());
    }

    private static void assertExtentsReadable(NbdClient client) {
        for (int i = 0; i < 6; i++) {
            NbdReply reply = NbdTestFixture.await(client.read(i * (long) NbdTestFixture.MIB, 4096));
            assertEquals(0, reply.error, "extent " + i);
            assertArrayEquals(NbdTestFixture.randomBytes(i, 4096), NbdTestFixture.data(reply));
            reply.release();
        }
    }

    @Test
    void startsWithStoredListOfAnyAgeAndReadsKnownExtents() throws Exception {
        try (NbdTestFixture fixture = new NbdTestFixture(3)) {
            String site = runFirstIncarnation(fixture);
            NbdTestFixture.await(fixture.cluster.directory().stop());
            double[] agesMillis = {60_000, 3_600_000, 7 * 86_400_000.0};
            ListFreshness[] expectedFreshness = {
                ListFreshness.FRESH, ListFreshness.AGED, ListFreshness.OLD
            };
            for (int i = 0; i < agesMillis.length; i++) {
                ageStoredList(agesMillis[i]);
                NbdGateway restarted = start(site, 20 + i);
                assertEquals(expectedFreshness[i], NbdTestFixture.await(restarted.nodes()).trust());
                assertExtentsReadable(fixture.client(restarted, NbdClient.Style.GO));
                NbdTestFixture.await(restarted.kill());
            }
        }
    }

    @Test
    void nodeThatAnnouncesDrainingInItsHandshakeIsShownAsDraining() throws Exception {
        try (NbdTestFixture fixture = new NbdTestFixture(3)) {
            String site = runFirstIncarnation(fixture);
            NbdTestFixture.await(fixture.cluster.directory().stop());
            fixture.cluster.nodes().get(0).drain();
            ageStoredList(60_000);
            NbdGateway restarted = start(site, 30);
            long attemptsBefore = restarted.counters().attempts.sum();
            NbdClient client = fixture.client(restarted, NbdClient.Style.GO);
            List<CompletableFuture<NbdReply>> reads = new java.util.ArrayList<>();
            for (int i = 0; i < 6; i++) {
                reads.add(client.read(i * (long) NbdTestFixture.MIB, 4096));
            }
            for (CompletableFuture<NbdReply> read : reads) {
                NbdTestFixture.await(read).release();
            }
            assertTrue(restarted.counters().attempts.sum() > attemptsBefore);
            NodesView view = NbdTestFixture.await(restarted.nodes());
            assertEquals(
                    EndpointRecord.Phase.DRAINING,
                    view.nodes().get(0).phase(),
                    view.nodes().get(0).reason());
            NbdTestFixture.await(restarted.kill());
        }
    }

    @Test
    void firstWritesAreRejectedUntilTheDirectoryIsReachable() throws Exception {
        try (NbdTestFixture fixture = new NbdTestFixture(3)) {
            String site = runFirstIncarnation(fixture);
            NbdTestFixture.await(fixture.cluster.directory().stop());
            NbdGateway restarted = start(site, 40);
            NbdClient client = fixture.client(restarted, NbdClient.Style.GO);
            assertEquals(
                    NbdConstants.ENOMEM,
                    NbdTestFixture.error(
                            client.write(
                                    40L * NbdTestFixture.MIB,
                                    NbdTestFixture.randomBytes(40, 4096))));
            long attempts = restarted.counters().attempts.sum();
            assertEquals(
                    0,
                    NbdTestFixture.error(client.write(0, NbdTestFixture.randomBytes(0, 4096))),
                    "write to a known extent");
            assertEquals(attempts + 1, restarted.counters().attempts.sum());
            NbdTestFixture.await(fixture.cluster.directory().restart());
            await().until(
                            () -> {
                                NbdReply reply =
                                        NbdTestFixture.await(
                                                client.write(
                                                        40L * NbdTestFixture.MIB,
                                                        NbdTestFixture.randomBytes(40, 4096)));
                                reply.release();
                                return reply.error == 0;
                            });
            assertEquals(ListFreshness.FRESH, NbdTestFixture.await(restarted.nodes()).trust());
            NbdTestFixture.await(restarted.kill());
        }
    }

    @Test
    void wrongStoredHolderDeniesAndRightOneIsFound() throws Exception {
        try (NbdTestFixture fixture = new NbdTestFixture(3)) {
            String site = runFirstIncarnation(fixture);
            HolderFile file = new HolderFile(tempDir.resolve("holders"), SITE);
            int[] cells = file.load().get(1);
            int[] wrongCells = cells.clone();
            for (int i = 0; i < 6; i++) {
                wrongCells[i] = 1 + cells[i] % 3;
            }
            file.write(java.util.Map.of(1, wrongCells), System.currentTimeMillis());
            NbdGateway restarted = start(site, 50);
            assertExtentsReadable(fixture.client(restarted, NbdClient.Style.GO));
            assertTrue(
                    restarted.counters().notExecuted.sum() >= 6,
                    "attempts not executed: " + restarted.counters().notExecuted.sum());
            NbdTestFixture.await(restarted.stop());
            assertArrayEquals(
                    Arrays.copyOf(cells, 6),
                    Arrays.copyOf(file.load().get(1), 6),
                    "stored holders are corrected");
        }
    }

    @Test
    void tornListFallsBackAndListOfAnotherSiteIsIgnored() throws Exception {
        try (NbdTestFixture fixture = new NbdTestFixture(3)) {
            String site = runFirstIncarnation(fixture);
            ageStoredList(0); // writes a second generation
            Path file = tempDir.resolve("nodes");
            byte[] listBytes = Files.readAllBytes(file);
            Files.write(file, Arrays.copyOf(listBytes, listBytes.length / 3));
            NbdTestFixture.await(fixture.cluster.directory().stop());
            NbdGateway restarted = start(site, 60);
            assertExtentsReadable(fixture.client(restarted, NbdClient.Style.GO));
            assertTrue(Files.exists(tempDir.resolve("nodes.set-aside")));
            NbdTestFixture.await(restarted.kill());
            NbdTestFixture.await(fixture.cluster.directory().restart());
            String otherSite = site.replace("[site]", "[site]\nname = elsewhere");
            NbdGateway otherGateway = start(otherSite, 61);
            NodesView view = NbdTestFixture.await(otherGateway.nodes());
            assertEquals(
                    3,
                    view.nodes().size(),
                    "nodes come from the directory, not from the stored list");
            assertEquals(0, view.unverifiedExtents());
            NbdTestFixture.await(otherGateway.kill());
        }
    }

    @Test
    void listOfAnotherSiteOrEmptyListChangesNothing() throws Exception {
        try (NbdTestFixture fixture = new NbdTestFixture(3)) {
            String site = runFirstIncarnation(fixture);
            NbdGateway restarted = start(site, 70);
            NbdClient client = fixture.client(restarted, NbdClient.Style.GO);
            NbdTestFixture.await(fixture.cluster.directory().stop());
            NbdTestFixture.await(
                    fixture.cluster.directory().replaceWith("another", 9, 1, List.of()));
            NbdTestFixture.await(fixture.cluster.directory().restart());
            long listsBefore = fixture.cluster.directory().completeLists();
            await().until(() -> fixture.cluster.directory().completeLists() > listsBefore);
            assertExtentsReadable(client);
            NbdTestFixture.await(restarted.kill());
        }
    }
}
