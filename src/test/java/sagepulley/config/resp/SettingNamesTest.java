package sagepulley.config.resp;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import sagepulley.config.AccountsSettings;
import sagepulley.config.HostPort;
import sagepulley.config.MembershipSettings;
import sagepulley.config.SiteConfig;
import sagepulley.config.TracingSettings;
import sagepulley.config.VolumeSettings;
import sagepulley.config.settings.SettingsReader;
import sagepulley.discovery.http.AddressParser;
import sagepulley.discovery.http.EndpointListUpdate;
import sagepulley.model.Deployment;
import sagepulley.model.Node;
import sagepulley.model.ServicePolicy;
import sagepulley.model.TenantPlan;
import sagepulley.model.TrafficClass;

/**
 * Keys of settings are part of the file formats: each key in the committed files has a value other
 * than its default, and the result is compared as a whole.
 */
class SettingNamesTest {
    private static final Path FOLDER = Path.of("src/test/resources/external");
    @TempDir private Path folder;

    /** The deployment that first-message.txt and config.json both describe. */
    private static Deployment expectedDeployment() {
        return new Deployment(
                2,
                5,
                1,
                List.of(
                        new TrafficClass(
                                0,
                                "get",
                                TrafficClass.Idempotency.IDEMPOTENT,
                                TrafficClass.DeduplicationScope.ALL,
                                0,
                                false,
                                false,
                                11,
                                1.5,
                                12,
                                13,
                                0.25),
                        new TrafficClass(
                                1,
                                "put",
                                TrafficClass.Idempotency.DEDUPLICATED,
                                TrafficClass.DeduplicationScope.ZONE,
                                14,
                                true,
                                true,
                                15,
                                0,
                                16,
                                1,
                                0),
                        new TrafficClass(
                                2,
                                "add",
                                TrafficClass.Idempotency.NON_IDEMPOTENT,
                                TrafficClass.DeduplicationScope.ALL,
                                0,
                                false,
                                true,
                                17,
                                0,
                                18,
                                1,
                                0),
                        new TrafficClass(
                                3,
                                "all",
                                TrafficClass.Idempotency.DEDUPLICATED,
                                TrafficClass.DeduplicationScope.ALL,
                                19,
                                false,
                                true,
                                20,
                                0,
                                21,
                                1,
                                0),
                        new TrafficClass(
                                4,
                                "cell",
                                TrafficClass.Idempotency.DEDUPLICATED,
                                TrafficClass.DeduplicationScope.CELL,
                                22,
                                false,
                                true,
                                23,
                                0,
                                24,
                                1,
                                0)),
                List.of(new TenantPlan(0, "gold", 31, 32, 33, 34, 35, 36, 37)),
                new ServicePolicy(41, 42, 0.43, 44, 45, 46, 47, 48, 49, 0.5, 51, 52, true),
                61,
                62,
                63,
                64,
                0.65,
                0.66,
                67,
                true,
                true,
                68,
                Double.POSITIVE_INFINITY,
                true,
                true,
                true,
                69,
                70,
                71,
                72,
                true,
                List.of("queue", "busy"));
    }

    @Test
    void settingsTextIsReadIntoDeployment() throws IOException {
        String text = Files.readString(FOLDER.resolve("first-message.txt"));
        assertEquals(expectedDeployment(), SettingsReader.ofLines(text).deployment());
    }

    private static GatewayConfig config(String name, String listen, int discoveryPort) {
        return new GatewayConfig(
                name,
                AddressParser.parse(listen),
                new InetSocketAddress("127.0.0.1", discoveryPort),
                0xabc,
                300,
                128,
                new EndpointListUpdate(
                        9,
                        true,
                        List.of(
                                member("one", Node.Phase.READY, 81),
                                member("two", Node.Phase.DRAINING, 82),
                                member("three", Node.Phase.REMOVED, 83)),
                        List.of()),
                expectedDeployment().withWatch(6_000),
                List.of("here", "there"),
                List.of("plain", "fast"),
                91,
                92,
                93);
    }

    private static EndpointListUpdate.Member member(String id, Node.Phase phase, int port) {
        return new EndpointListUpdate.Member(
                id,
                new InetSocketAddress("127.0.0.1", port),
                "here",
                "plain",
                port + 100,
                phase,
                1.5,
                port + 1000);
    }

    @Test
    void configurationFileKeysAreRead() throws Exception {
        Map<String, String> environment =
                Map.of("GW_CONFIG", FOLDER.resolve("config.json").toString());
        assertEquals(config("gw-1", "127.0.0.1:101", 102), GatewayConfig.read(environment));
    }

    @Test
    void environmentReplacesMissingKeys() throws Exception {
        Path file = folder.resolve("config.json");
        Files.writeString(
                file,
                Files.readString(FOLDER.resolve("config.json"))
                        .replaceAll("\"(name|listen|discovery)\": \"(gw-1|127.0.0.1:10.)\",", ""));
        Map<String, String> environment =
                Map.of(
                        "GW_CONFIG",
                        file.toString(),
                        "GW_NAME",
                        "gw-2",
                        "GW_LISTEN",
                        "127.0.0.1:201",
                        "GW_DISCOVERY",
                        "127.0.0.1:202");
        assertEquals(config("gw-2", "127.0.0.1:201", 202), GatewayConfig.read(environment));
    }

    @Test
    void siteFileKeysAreRead() throws Exception {
        Deployment deployment =
                new Deployment(
                        2,
                        5,
                        1,
                        List.of(
                                new TrafficClass(
                                        0,
                                        "read",
                                        TrafficClass.Idempotency.DEDUPLICATED,
                                        TrafficClass.DeduplicationScope.ZONE,
                                        11,
                                        true,
                                        false,
                                        12,
                                        0,
                                        13,
                                        14,
                                        0.5),
                                new TrafficClass(
                                        1,
                                        "write",
                                        TrafficClass.Idempotency.NON_IDEMPOTENT,
                                        TrafficClass.DeduplicationScope.ALL,
                                        60_000,
                                        false,
                                        true,
                                        15,
                                        0,
                                        16,
                                        1,
                                        0.2),
                                new TrafficClass(
                                        2,
                                        "bulk",
                                        TrafficClass.Idempotency.IDEMPOTENT,
                                        TrafficClass.DeduplicationScope.CELL,
                                        60_000,
                                        false,
                                        false,
                                        17,
                                        0,
                                        18,
                                        1,
                                        0.2)),
                        List.of(
                                new TenantPlan(0, "plain", 30, 0, 1, 1, 0, 0, 0),
                                new TenantPlan(1, "gold", 31, 32, 33, 34, 35, 36, 37)),
                        new ServicePolicy(41, 42, 0.43, 44, 45, 46, 47, 48, 49, 50, 51, 12, false),
                        61,
                        62,
                        63,
                        8192 / 1024,
                        0.65,
                        0.66,
                        67,
                        true,
                        true,
                        168,
                        Double.POSITIVE_INFINITY,
                        false,
                        true,
                        true,
                        69,
                        70,
                        0,
                        0,
                        true,
                        List.of("queue"));
        SiteConfig expected =
                new SiteConfig(
                        "gw-1",
                        List.of("hall-a", "hall-b"),
                        new HostPort("127.0.0.1", 101),
                        new HostPort("127.0.0.1", 102),
                        3,
                        2 << 20,
                        3 << 20,
                        4,
                        5,
                        8192,
                        1024,
                        4096,
                        deployment,
                        List.of(
                                new VolumeSettings(
                                        7, "exams", "papers", 1024, 1, 8, true, 0, 1, 2, 2048)),
                        new AccountsSettings(false, Path.of("a"), 106),
                        new TracingSettings(Path.of("t"), 8192, 5, "http://h:1/v1/traces", 6, 0.7),
                        new HostPort("127.0.0.1", 103),
                        new MembershipSettings(
                                Path.of("l"),
                                Path.of("h"),
                                107,
                                108,
                                9,
                                List.of(
                                        new MembershipSettings.ConfiguredNode(
                                                12, 13, 1, new HostPort("127.0.0.1", 104)))),
                        "hall-1");
        assertEquals(expected, SiteConfig.read(FOLDER.resolve("site.ini")));
    }
}
