package sagepulley.stored;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import com.github.luben.zstd.Zstd;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import sagepulley.accounts.Cause;
import sagepulley.accounts.LatencyComponent;
import sagepulley.accounts.LatencyReport;
import sagepulley.accounts.PlanTier;
import sagepulley.accounts.StoredAccounts;
import sagepulley.membership.EndpointRecord;
import sagepulley.membership.RecordSource;
import sagepulley.membership.StoredEndpointList;
import sagepulley.persistence.AccountFile;
import sagepulley.persistence.EndpointListFile;
import sagepulley.persistence.GatewayAccounts;
import sagepulley.persistence.HolderFile;

/**
 * Guards the compatibility of stored files. Files of an earlier build (src/test/resources/stored)
 * must be read correctly, and the same content must be written with the same keys and bytes.
 */
class StoredFormatTest {
    private static final long WRITTEN_AT = 1_764_700_000_123L;
    private static final Path STORED = Path.of("src/test/resources/stored");
    @TempDir private Path tempDir;

    // ---- contents of the stored files ----

    private static StoredEndpointList endpointList() {
        return new StoredEndpointList(
                "hall-1",
                77,
                12,
                1_764_699_999_000L,
                List.of(
                        storedEndpoint(
                                1, EndpointRecord.Phase.REMOVED, RecordSource.DIRECTORY, false),
                        storedEndpoint(2, EndpointRecord.Phase.READY, RecordSource.DISK, true),
                        storedEndpoint(
                                3, EndpointRecord.Phase.DRAINING, RecordSource.IMPORT, false),
                        storedEndpoint(4, EndpointRecord.Phase.READY, RecordSource.SITE, true)));
    }

    private static StoredEndpointList.StoredEndpoint storedEndpoint(
            int node, EndpointRecord.Phase phase, RecordSource source, boolean selfDraining) {
        return new StoredEndpointList.StoredEndpoint(
                new EndpointRecord(
                        node,
                        10 + node,
                        20 + node,
                        30 + node,
                        phase,
                        1_764_000_000_000L + node,
                        0.5f * node,
                        "10.0.0." + node,
                        7000 + node),
                source,
                selfDraining);
    }

    private static Map<Integer, int[]> holders() {
        Map<Integer, int[]> cells = new LinkedHashMap<>();
        cells.put(7, new int[] {3, 3, -1, 4});
        cells.put(8, new int[] {});
        cells.put(9, new int[] {5, 5, 5, 5, 5});
        return cells;
    }

    /** Encodes a cause: ordinal of the kind, estimate bit, 24 bits of node, 34 bits of volume. */
    private static long key(long kind, long estimate, long node, long volume) {
        return (kind << 1 | estimate) << 58 | node << 34 | volume;
    }

    private static double[] sums(int keys, double first) {
        double[] sums = new double[4 * keys];
        Arrays.setAll(sums, i -> i % 4 == 0 ? first + i : i % 4 == 3 ? 0.25 + i : first + i - 0.5);
        return sums;
    }

    private static StoredAccounts.StoredWindow window(int level, long number) {
        long[] keys = new long[12];
        Arrays.setAll(keys, kind -> key(kind, kind % 2, 1 + kind, 100 + kind));
        double[] components = new double[16];
        Arrays.setAll(components, ordinal -> 1000.5 + ordinal);
        return new StoredAccounts.StoredWindow(
                level,
                number,
                components,
                keys,
                sums(12, 500),
                new long[] {2, 3, 4},
                new long[] {11, 12, 13, 14, 15},
                new long[] {21, 22, 23, 24, 25},
                new double[] {31.5, 32.5, 33.5, 34.5, 35.5},
                new double[] {41.5, 42.5, 43.5, 44.5, 45.5},
                new long[][] {{3, 2, 1023, 1}, {4, 1}, {5, 1}, {6, 1}, {7, 9}});
    }

    private static GatewayAccounts accounts() {
        Map<Long, String> names = new LinkedHashMap<>();
        names.put(1L, "exams");
        names.put(2L, "archive");
        Map<Long, Double> notifiedAt = new LinkedHashMap<>();
        notifiedAt.put(3L, 7.5);
        notifiedAt.put(4L, 1_764_699_990_000.25);
        return new GatewayAccounts(
                "gw-1",
                WRITTEN_AT,
                names,
                notifiedAt,
                new StoredAccounts(
                        List.of(
                                new StoredAccounts.StoredVolume(
                                        1,
                                        List.of(
                                                window(0, 176_470_000),
                                                window(1, 5_882_000),
                                                window(2, 490_000))),
                                new StoredAccounts.StoredVolume(
                                        2, List.of(window(0, 176_470_001)))),
                        List.of(
                                new StoredAccounts.StoredNode(
                                        5,
                                        2,
                                        List.of(
                                                new StoredAccounts.StoredFlow(
                                                        0,
                                                        176_470_000,
                                                        new long[] {
                                                            key(3, 0, 0, 1), key(3, 1, 0, 2)
                                                        },
                                                        sums(2, 60)))),
                                new StoredAccounts.StoredNode(6, 1, List.of()))));
    }

    // ---- helpers ----

    /** Copies a stored file, because a reader may set the file aside. */
    private Path stored(String name) throws IOException {
        return Files.copy(STORED.resolve(name), tempDir.resolve("stored-" + name));
    }

    private static String header(Path file) throws IOException {
        String text = Files.readString(file, StandardCharsets.ISO_8859_1);
        return text.substring(0, text.indexOf('\n'));
    }

    private static byte[] body(Path file) throws IOException {
        byte[] all = Files.readAllBytes(file);
        return Arrays.copyOfRange(all, header(file).length() + 1, all.length);
    }

    // ---- endpoint list ----

    @Test
    void storedEndpointListIsRead() throws IOException {
        EndpointListFile.ReadResult result =
                new EndpointListFile(stored("nodes"), "hall-1").inspect();
        assertEquals(List.of(), result.rejected());
        assertEquals(WRITTEN_AT, result.writtenAt());
        assertEquals(endpointList(), result.list());
        assertEquals("hall-1", result.list().site());
        assertEquals(77, result.list().history());
        assertEquals(12, result.list().version());
        assertEquals(1_764_699_999_000L, result.list().confirmedAt());
        EndpointRecord draining = result.list().endpoints().get(2).endpoint();
        assertEquals(3, draining.node());
        assertEquals(13, draining.cell());
        assertEquals(23, draining.zone());
        assertEquals(33, draining.kind());
        assertEquals(EndpointRecord.Phase.DRAINING, draining.phase());
        assertEquals(1_764_000_000_003L, draining.startedAt());
        assertEquals(1.5f, draining.weight());
        assertEquals("10.0.0.3", draining.host());
        assertEquals(7003, draining.port());
        assertEquals(RecordSource.IMPORT, result.list().endpoints().get(2).source());
        assertTrue(result.list().endpoints().get(1).selfDraining());
    }

    private static String json(int node, String phase, String source, boolean selfDraining) {
        return "{\"line\":{\"node\":%d,\"cell\":1%d,\"zone\":2%d,\"kind\":3%d,\"standing\":\"%s\",\"startedAt\":176400000000%d,\"weight\":%s,\"host\":\"10.0.0.%d\",\"port\":700%d},\"source\":\"%s\",\"selfDraining\":%s}"
                .formatted(
                        node,
                        node,
                        node,
                        node,
                        phase,
                        node,
                        0.5 * node,
                        node,
                        node,
                        source,
                        selfDraining);
    }

    @Test
    void endpointListIsWrittenInStoredFormat() throws IOException {
        Path file = tempDir.resolve("nodes");
        new EndpointListFile(file, "hall-1").write(endpointList(), WRITTEN_AT);
        String expected =
                "{\"site\":\"hall-1\",\"history\":77,\"version\":12,\"confirmedAt\":1764699999000,\"lines\":["
                        + String.join(
                                ",",
                                json(1, "GONE", "DIRECTORY", false),
                                json(2, "READY", "DISK", true),
                                json(3, "DRAINING", "IMPORT", false),
                                json(4, "READY", "SITE", true))
                        + "]}";
        assertEquals(new JsonMapper().readTree(expected), new JsonMapper().readTree(body(file)));
        assertTrue(
                header(file).startsWith("sagepulley nodes 1 hall-1 1764700000123 1 "),
                header(file));
        assertArrayEquals(Files.readAllBytes(STORED.resolve("nodes")), Files.readAllBytes(file));
    }

    // ---- holders ----

    @Test
    void holdersAreReadAndWrittenInStoredFormat() throws IOException {
        Map<Integer, int[]> read = new HolderFile(stored("holders"), "hall-1").load();
        assertEquals(List.of(7, 8, 9), List.copyOf(read.keySet()));
        assertArrayEquals(new int[] {3, 3, -1, 4}, read.get(7));
        assertArrayEquals(new int[] {}, read.get(8));
        assertArrayEquals(new int[] {5, 5, 5, 5, 5}, read.get(9));

        Path file = tempDir.resolve("holders");
        new HolderFile(file, "hall-1").write(holders(), WRITTEN_AT);
        assertTrue(
                header(file).startsWith("sagepulley holders 1 hall-1 1764700000123 1 "),
                header(file));
        ByteBuffer expected = ByteBuffer.allocate(4 * 18);
        for (int word : new int[] {3, 7, 4, 3, 3, 2, -1, 1, 4, 1, 8, 0, 0, 9, 5, 1, 5, 5}) {
            expected.putInt(word);
        }
        assertArrayEquals(expected.array(), Zstd.decompress(body(file), 4 * 18));
    }

    // ---- accounts ----

    @Test
    void storedAccountsAreRead() throws IOException {
        AccountFile.Loaded read = new AccountFile(stored("accounts"), "gw-1").load();
        assertEquals("gw-1", read.stored().gateway());
        assertEquals(WRITTEN_AT, read.stored().writtenAt());
        assertEquals(Map.of(1L, "exams", 2L, "archive"), read.stored().volumeNames());
        assertEquals(Map.of(3L, 7.5, 4L, 1_764_699_990_000.25), read.stored().versionNotifiedAt());
        assertEquals(List.of(1L, 2L), read.account().volumes());
        assertEquals(Map.of(5, 2, 6, 1), read.account().zones());
        CBORMapper cbor = new CBORMapper();
        assertEquals(
                cbor.<JsonNode>valueToTree(accounts().accounts()),
                cbor.<JsonNode>valueToTree(StoredAccounts.of(read.account())),
                "accounts after a round trip");
        double[] flow = read.account().flows(0, 1e13).get(5).get(2L);
        assertArrayEquals(new double[] {64, 64}, flow, "units and writes at node 5");
    }

    /** Latency components, plan tiers and kinds of causes are stored by ordinal. */
    @Test
    void storedOrdinalsMapToSameConstants() throws IOException {
        LatencyReport report = AccountFile.inspect(stored("accounts")).account().report(2, 0, 1e13);
        assertEquals(2, report.rejected());
        assertEquals(3, report.abandoned());
        assertEquals(4, report.cancelled());
        List<LatencyComponent> components =
                List.of(
                        LatencyComponent.RESERVATION_FULL,
                        LatencyComponent.SHARE_FULL,
                        LatencyComponent.EXCESS_FULL,
                        LatencyComponent.QUEUE_AT_NODE,
                        LatencyComponent.WARMING_UP,
                        LatencyComponent.UNRESPONSIVE,
                        LatencyComponent.NOT_READY,
                        LatencyComponent.LIMIT,
                        LatencyComponent.RETRY_BUDGET,
                        LatencyComponent.KEY_ORDER,
                        LatencyComponent.LOWER_PRIORITY,
                        LatencyComponent.DIRECTORY,
                        LatencyComponent.NETWORK,
                        LatencyComponent.NODE_QUEUE,
                        LatencyComponent.NODE_WORK,
                        LatencyComponent.FAILED_ATTEMPT);
        for (int i = 0; i < 16; i++) {
            assertEquals(
                    1000.5 + i,
                    report.components().get(components.get(i)),
                    components.get(i).toString());
        }
        List<PlanTier> tiers =
                List.of(
                        PlanTier.RESERVATION,
                        PlanTier.SHARE,
                        PlanTier.EXCESS,
                        PlanTier.LIMIT,
                        PlanTier.NONE);
        for (LatencyReport.TierReport tier : report.tiers()) {
            int index = tiers.indexOf(tier.tier());
            assertEquals(11 + index, tier.met(), tier.toString());
            assertEquals(21 + index, tier.missed(), tier.toString());
            assertEquals(31.5 + index, tier.units(), tier.toString());
            assertEquals(41.5 + index, tier.lostWeight(), tier.toString());
        }
        assertEquals(5, report.tiers().size());
        List<Cause.Kind> kinds =
                List.of(
                        Cause.Kind.OWN_LOAD,
                        Cause.Kind.OWN_LIMIT,
                        Cause.Kind.OWN_WORK,
                        Cause.Kind.NEIGHBOUR,
                        Cause.Kind.OTHER_GATEWAYS,
                        Cause.Kind.SLOW_NODE,
                        Cause.Kind.PAUSE,
                        Cause.Kind.WARMING_UP_NODE,
                        Cause.Kind.FAULT,
                        Cause.Kind.LOCAL_THROTTLING,
                        Cause.Kind.DIRECTORY,
                        Cause.Kind.NETWORK);
        assertEquals(12, report.causes().size(), report.causes().toString());
        for (LatencyReport.CauseReport cause : report.causes()) {
            int index = kinds.indexOf(cause.kind());
            assertEquals(500 + 4 * index, cause.waited(), cause.toString());
            assertEquals(0.25 + 4 * index + 3, cause.lostWeight(), cause.toString());
            assertEquals(1 + index, cause.node(), cause.toString());
        }
    }

    @Test
    void accountsAreWrittenInStoredFormat() throws IOException {
        Path file = tempDir.resolve("accounts");
        new AccountFile(file, "gw-1").write(accounts());
        assertTrue(
                header(file).startsWith("sagepulley accounts 1 gw-1 1764700000123 1 "),
                header(file));
        assertEquals(
                """
                gateway
                kept.nodes[].flows
                kept.nodes[].flows[].keys[]
                kept.nodes[].flows[].level
                kept.nodes[].flows[].number
                kept.nodes[].flows[].sums[]
                kept.nodes[].node
                kept.nodes[].zone
                kept.volumes[].volume
                kept.volumes[].windows[].ends[]
                kept.volumes[].windows[].keys[]
                kept.volumes[].windows[].level
                kept.volumes[].windows[].lost[]
                kept.volumes[].windows[].met[]
                kept.volumes[].windows[].missed[]
                kept.volumes[].windows[].number
                kept.volumes[].windows[].parts[]
                kept.volumes[].windows[].sums[]
                kept.volumes[].windows[].times[][]
                kept.volumes[].windows[].units[]
                names.1
                names.2
                told.3
                told.4
                writtenAt
                """,
                KeyPaths.of(new CBORMapper().readTree(body(file))));
        assertArrayEquals(Files.readAllBytes(STORED.resolve("accounts")), Files.readAllBytes(file));
    }
}
