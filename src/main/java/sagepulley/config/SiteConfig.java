package sagepulley.config;

import java.io.StringReader;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import sagepulley.model.Deployment;
import sagepulley.model.ServicePolicy;
import sagepulley.model.TenantPlan;
import sagepulley.model.TrafficClass;

/**
 * A gateway's site file, checked (docs/operate/site-file.md has it key by key). Sizes are bytes,
 * times are milliseconds.
 */
public record SiteConfig(
        String name,
        List<String> zones,
        HostPort nbd,
        HostPort directory,
        int eventLoops,
        long maxClientBytes,
        long maxTotalBytes,
        int maxClients,
        double shutdownTimeoutMillis,
        int extentBytes,
        int unitBytes,
        int maxRequestBytes,
        Deployment deployment,
        List<VolumeSettings> volumes,
        AccountsSettings accounts,
        TracingSettings tracing,
        HostPort monitoring,
        MembershipSettings membership,
        String siteName) {
    private static final double DAY = 86_400_000;
    private static final double MANY = 1e9;
    private static final Set<String> WORDS =
            Set.of(
                    "gateway",
                    "site",
                    "rules",
                    "band",
                    "plan",
                    "volume",
                    "accounts",
                    "traces",
                    "watch",
                    "membership",
                    "node");

    /** Reads and checks a file; the error tells every mistake, a line each. */
    public static SiteConfig read(Path path) throws SiteConfigException {
        return new Reading(new IniReader(path)).site();
    }

    /** The same from text, whose name stands in errors. */
    public static SiteConfig read(String name, String text) throws SiteConfigException {
        return new Reading(new IniReader(name, new StringReader(text))).site();
    }

    private static final class Reading {
        private final IniReader ini;
        private final List<TrafficClass> bands = new ArrayList<>();
        private final List<TenantPlan> plans = new ArrayList<>();

        Reading(IniReader ini) {
            this.ini = ini;
        }

        SiteConfig site() throws SiteConfigException {
            List<String> zones = List.of(ini.text("site", "zones", "zone-0").split("\\s*,\\s*"));
            int extentBytes = (int) ini.bytes("site", "extent", "1 MiB", 4096, 16 << 20);
            int unitBytes = (int) ini.bytes("site", "unit", "128 KiB", 512, 16 << 20);
            if (extentBytes % 4096 != 0) {
                ini.mistake(
                        "site",
                        "extent",
                        "is " + extentBytes + " bytes, allowed is a multiple of 4 KiB");
            }
            for (String name : ini.named("band")) {
                bands.add(band(name));
            }
            for (String name : ini.named("plan")) {
                plans.add(plan(name));
            }
            if (bands.isEmpty()) {
                ini.mistake("band NAME", "", "at least one such section is needed");
            }
            if (plans.isEmpty()) {
                ini.mistake("plan NAME", "", "at least one such section is needed");
            }
            List<VolumeSettings> volumes = new ArrayList<>();
            Set<Integer> ids = new HashSet<>();
            for (String name : ini.named("volume")) {
                VolumeSettings volume = volume(name);
                volumes.add(volume);
                if (!ids.add(volume.id())) {
                    ini.mistake(
                            "volume " + name,
                            "id",
                            "is " + volume.id() + ", which another volume has");
                }
            }
            long clientBytes = ini.bytes("gateway", "client-bytes", "64 MiB", 1 << 20, 1L << 40);
            int mostRequest = (int) ini.bytes("gateway", "most-request", "32 MiB", 4096, 32 << 20);
            if (mostRequest + 4096 > clientBytes) {
                ini.mistake(
                        "gateway",
                        "client-bytes",
                        "must hold one request of most-request and 4 KiB more");
            }
            long allBytes = ini.bytes("gateway", "all-bytes", "512 MiB", 1 << 20, 1L << 40);
            if (allBytes < clientBytes) {
                ini.mistake("gateway", "all-bytes", "is less than client-bytes");
            }
            SiteConfig site =
                    new SiteConfig(
                            ini.text("gateway", "name", null),
                            zones,
                            address("gateway", "nbd-listen", "127.0.0.1:10809"),
                            address("gateway", "directory", null),
                            ini.whole("gateway", "loops", 1, 1, 64),
                            clientBytes,
                            allBytes,
                            ini.whole("gateway", "most-clients", 1024, 1, 100_000),
                            ini.time("gateway", "stop-within", "10 s", 0, DAY),
                            extentBytes,
                            unitBytes,
                            mostRequest,
                            deployment(zones, (double) extentBytes / unitBytes),
                            volumes,
                            books(),
                            traces(),
                            address("watch", "listen", ""),
                            members(zones),
                            ini.text("site", "name", "sagepulley"));
            ini.finish(WORDS);
            return site;
        }

        private MembershipSettings members(List<String> zones) {
            double fresh = ini.time("membership", "fresh", "5 min", 0, DAY);
            double aged = ini.time("membership", "aged", "24 h", 0, 365 * DAY);
            if (aged < fresh) {
                ini.mistake("membership", "aged", "is shorter than fresh");
            }
            List<MembershipSettings.ConfiguredNode> nodes = new ArrayList<>();
            for (String name : ini.named("node")) {
                String section = "node " + name;
                if (!name.matches("[1-9][0-9]{0,8}")) {
                    ini.mistake(
                            section,
                            "",
                            "allowed is a section [node N] with the node's number, from 1");
                    continue;
                }
                nodes.add(
                        new MembershipSettings.ConfiguredNode(
                                Integer.parseInt(name),
                                ini.whole(section, "cell", null, 0, 1 << 20),
                                ini.choice(section, "zone", zones.get(0), zones),
                                address(section, "address", null)));
            }
            return new MembershipSettings(
                    path("membership", "list"),
                    path("membership", "holders"),
                    fresh,
                    aged,
                    ini.whole("membership", "asked-at-once", 4, 1, 1000),
                    nodes);
        }

        private AccountsSettings books() {
            return new AccountsSettings(
                    ini.truth("accounts", "keep", true),
                    path("accounts", "file"),
                    ini.time("accounts", "every", "10 s", 100, DAY));
        }

        private TracingSettings traces() {
            String otlp = ini.text("traces", "otlp", "");
            if (!otlp.isEmpty() && !otlp.matches("https?://[^\\s]+")) {
                ini.mistake(
                        "traces",
                        "otlp",
                        "is '" + otlp + "', allowed is http://host:port/v1/traces");
            }
            return new TracingSettings(
                    path("traces", "file"),
                    ini.bytes("traces", "file-bytes", "16 MiB", 4096, 1L << 32),
                    ini.whole("traces", "files", 4, 1, 100),
                    otlp,
                    ini.number("traces", "budget", 20.0, 0, 10_000),
                    ini.number("traces", "chance", 0.001, 0, 1));
        }

        private Path path(String section, String key) {
            String text = ini.text(section, key, "");
            try {
                return text.isEmpty() ? null : Path.of(text);
            } catch (InvalidPathException e) {
                ini.mistake(section, key, "is '" + text + "', which can be no path");
                return null;
            }
        }

        private HostPort address(String section, String key, String without) {
            String text = ini.text(section, key, without);
            HostPort address = HostPort.read(text);
            if (address == null && !text.isEmpty()) {
                ini.mistake(section, key, "is '" + text + "', allowed is host:port");
            }
            return address;
        }

        private Deployment deployment(List<String> zones, double mostUnits) {
            int gateways = ini.whole("gateway", "gateways", 1, 1, 100_000);
            return new Deployment(
                    ini.whole("gateway", "number", 0, 0, gateways - 1),
                    gateways,
                    ini.choice("gateway", "zone", zones.get(0), zones),
                    bands,
                    plans,
                    rules(),
                    ini.time("site", "tick", "10 ms", 0.1, 1000),
                    ini.whole("site", "shards", 64, 1, 1 << 20),
                    ini.number("site", "usual-units", 1.0, 1e-6, MANY),
                    Math.max(1, mostUnits),
                    ini.number("site", "share-worth", 0.35, 0, 1),
                    ini.number("site", "beyond-worth", 0.05, 0, 1),
                    ini.time("site", "use-period", "1 s", 0, DAY),
                    true,
                    true,
                    ini.time("site", "ask-within", "10 s", 100, DAY),
                    Double.POSITIVE_INFINITY,
                    false,
                    true,
                    true,
                    ini.time("site", "longest-advice", "1 s", 0, DAY),
                    ini.number("site", "cross-zone-price", 0.0, 0, MANY),
                    0,
                    0,
                    ini.truth("site", "weighs-nodes", false),
                    List.of("queue"));
        }

        private ServicePolicy rules() {
            boolean budget = ini.has("rules", "budget-window");
            return new ServicePolicy(
                    ini.time("rules", "answer-grace", "10 ms", 0, DAY),
                    ini.time("rules", "drain-grace", "1 s", 0, DAY),
                    ini.number("rules", "cold-share", 0.25, 0.001, 1),
                    ini.time("rules", "cold-time", "10 s", 0, DAY),
                    ini.number("rules", "fall-multiple", 2.0, 1, 1000),
                    ini.time("rules", "fall-time", "2 s", 1, DAY),
                    ini.number("rules", "cold-units", 8.0, 0, MANY),
                    ini.time("rules", "key-rest", "0 ms", 0, DAY),
                    budget ? ini.number("rules", "budget-free", null, 0, MANY) : Double.NaN,
                    budget ? ini.number("rules", "budget-share", null, 0, 100) : Double.NaN,
                    budget ? ini.time("rules", "budget-window", null, 1, DAY) : Double.NaN,
                    ini.whole("rules", "most-hops", 3, 1, 16),
                    false);
        }

        private TrafficClass band(String name) {
            String section = "band " + name;
            TrafficClass.Idempotency repeat =
                    TrafficClass.Idempotency.values()[
                            ini.choice(
                                    section,
                                    "repeats",
                                    "idempotent",
                                    List.of("idempotent", "deduplicated", "unrepeatable"))];
            TrafficClass.DeduplicationScope group =
                    TrafficClass.DeduplicationScope.values()[
                            ini.choice(section, "group", "cell", List.of("all", "zone", "cell"))];
            double target = ini.time(section, "target", null, 1, DAY);
            double patience = ini.time(section, "patience", null, 1, DAY);
            if (patience < target) {
                ini.mistake(section, "patience", "is shorter than the target time");
            }
            return new TrafficClass(
                    bands.size(),
                    name,
                    repeat,
                    group,
                    ini.time(section, "group-memory", "1 min", 0, DAY),
                    ini.truth(section, "in-order", false),
                    ini.truth(section, "writes", false),
                    target,
                    0,
                    patience,
                    ini.number(section, "utility", 1.0, 0, MANY),
                    ini.number(section, "late-share", 0.2, 0, 1));
        }

        private TenantPlan plan(String name) {
            String section = "plan " + name;
            double limit = ini.number(section, "limit", 0.0, 0, MANY);
            return new TenantPlan(
                    plans.size(),
                    name,
                    ini.number(section, "rate", null, 0, MANY),
                    ini.number(section, "reserve", 0.0, 0, MANY),
                    ini.number(section, "weight", 1.0, 1e-6, MANY),
                    ini.number(section, "price", 1.0, 1e-6, MANY),
                    limit,
                    limit > 0 ? ini.number(section, "limit-burst", null, 0, MANY) : 0,
                    limit > 0 ? ini.number(section, "limit-slack", null, 0, MANY) : 0);
        }

        private VolumeSettings volume(String name) {
            String section = "volume " + name;
            List<String> bandNames = bands.stream().map(TrafficClass::name).toList();
            List<String> planNames = plans.stream().map(TenantPlan::name).toList();
            long size = ini.bytes(section, "size", null, 512, 1L << 50);
            if (size % 512 != 0) {
                ini.mistake(section, "size", "is " + size + " bytes, allowed is a multiple of 512");
            }
            int readBand = ini.choice(section, "read-band", null, bandNames);
            int writeBand = ini.choice(section, "write-band", null, bandNames);
            if (writeBand < bands.size()
                    && !bands.get(writeBand).writes()
                    && ini.has(section, "write-band")) {
                ini.mistake(section, "write-band", "is a band without 'writes = yes'");
            }
            String bulk = ini.text(section, "read-band", "");
            return new VolumeSettings(
                    ini.whole(section, "id", null, 1, 1 << 23),
                    name,
                    ini.text(section, "description", ""),
                    size,
                    ini.choice(section, "plan", null, planNames),
                    ini.whole(section, "gateways", 1, 1, 100_000),
                    ini.truth(section, "read-only", false),
                    readBand,
                    writeBand,
                    ini.choice(section, "bulk-band", bulk, bandNames),
                    ini.bytes(section, "bulk-from", "256 KiB", 1, 1L << 40));
        }
    }
}
