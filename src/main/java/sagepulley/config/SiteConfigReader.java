package sagepulley.config;

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
 * Reads the sections of a site file and maps its keys to the terms of the code, such as 'band' to a
 * traffic class, 'target' to its latency objective and 'patience' to its deadline.
 */
final class SiteConfigReader {
    private static final double DAY_MILLIS = 86_400_000;
    private static final double MAX_NUMBER = 1e9;
    private static final int SECTOR_BYTES = 512;
    private static final int PAGE_BYTES = 4096;
    private static final int MAX_GATEWAYS = 100_000;
    private static final Set<String> SECTIONS =
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

    private final IniReader ini;
    private final IniSection gateway;
    private final IniSection site;
    private final List<TrafficClass> trafficClasses = new ArrayList<>();
    private final List<TenantPlan> plans = new ArrayList<>();

    SiteConfigReader(IniReader ini) {
        this.ini = ini;
        this.gateway = ini.section("gateway");
        this.site = ini.section("site");
    }

    SiteConfig read() throws SiteConfigException {
        List<String> zones = List.of(site.text("zones", "zone-0").split("\\s*,\\s*"));
        int extentBytes = (int) site.bytes("extent", "1 MiB", PAGE_BYTES, 16 << 20);
        int unitBytes = (int) site.bytes("unit", "128 KiB", SECTOR_BYTES, 16 << 20);
        if (extentBytes % PAGE_BYTES != 0) {
            site.addError("extent", "is " + extentBytes + " bytes, expected a multiple of 4 KiB");
        }
        readClassesAndPlans();
        List<VolumeSettings> volumes = volumes();
        long maxClientBytes = gateway.bytes("client-bytes", "64 MiB", 1 << 20, 1L << 40);
        int maxRequestBytes = (int) gateway.bytes("most-request", "32 MiB", PAGE_BYTES, 32 << 20);
        if (maxRequestBytes + PAGE_BYTES > maxClientBytes) {
            gateway.addError("client-bytes", "must be at least most-request plus 4 KiB");
        }
        long maxTotalBytes = gateway.bytes("all-bytes", "512 MiB", 1 << 20, 1L << 40);
        if (maxTotalBytes < maxClientBytes) {
            gateway.addError("all-bytes", "must be at least client-bytes");
        }
        SiteConfig config =
                new SiteConfig(
                        gateway.text("name", null),
                        zones,
                        address(gateway, "nbd-listen", "127.0.0.1:10809"),
                        address(gateway, "directory", null),
                        gateway.integer("loops", 1, 1, 64),
                        maxClientBytes,
                        maxTotalBytes,
                        gateway.integer("most-clients", 1024, 1, 100_000),
                        gateway.millis("stop-within", "10 s", 0, DAY_MILLIS),
                        extentBytes,
                        unitBytes,
                        maxRequestBytes,
                        deployment(zones, (double) extentBytes / unitBytes),
                        volumes,
                        accounts(),
                        tracing(),
                        address(ini.section("watch"), "listen", ""),
                        membership(zones),
                        site.text("name", "sagepulley"));
        ini.finish(SECTIONS);
        return config;
    }

    private void readClassesAndPlans() {
        for (String name : ini.sectionNames("band")) {
            trafficClasses.add(trafficClass(name));
        }
        for (String name : ini.sectionNames("plan")) {
            plans.add(plan(name));
        }
        if (trafficClasses.isEmpty()) {
            ini.addError("band NAME", "", "at least one such section is required");
        }
        if (plans.isEmpty()) {
            ini.addError("plan NAME", "", "at least one such section is required");
        }
    }

    private TrafficClass trafficClass(String name) {
        IniSection section = ini.section("band " + name);
        TrafficClass.Idempotency idempotency =
                TrafficClass.Idempotency.values()[
                        section.choice(
                                "repeats",
                                "idempotent",
                                List.of("idempotent", "deduplicated", "unrepeatable"))];
        TrafficClass.DeduplicationScope scope =
                TrafficClass.DeduplicationScope.values()[
                        section.choice("group", "cell", List.of("all", "zone", "cell"))];
        double latencyObjective = section.millis("target", null, 1, DAY_MILLIS);
        double deadline = section.millis("patience", null, 1, DAY_MILLIS);
        if (deadline < latencyObjective) {
            section.addError("patience", "is shorter than the target time");
        }
        return new TrafficClass(
                trafficClasses.size(),
                name,
                idempotency,
                scope,
                section.millis("group-memory", "1 min", 0, DAY_MILLIS),
                section.flag("in-order", false),
                section.flag("writes", false),
                latencyObjective,
                0,
                deadline,
                section.number("utility", 1.0, 0, MAX_NUMBER),
                section.number("late-share", 0.2, 0, 1));
    }

    private TenantPlan plan(String name) {
        IniSection section = ini.section("plan " + name);
        double limit = section.number("limit", 0.0, 0, MAX_NUMBER);
        return new TenantPlan(
                plans.size(),
                name,
                section.number("rate", null, 0, MAX_NUMBER),
                section.number("reserve", 0.0, 0, MAX_NUMBER),
                section.number("weight", 1.0, 1e-6, MAX_NUMBER),
                section.number("price", 1.0, 1e-6, MAX_NUMBER),
                limit,
                limit > 0 ? section.number("limit-burst", null, 0, MAX_NUMBER) : 0,
                limit > 0 ? section.number("limit-slack", null, 0, MAX_NUMBER) : 0);
    }

    private List<VolumeSettings> volumes() {
        List<VolumeSettings> volumes = new ArrayList<>();
        Set<Integer> ids = new HashSet<>();
        for (String name : ini.sectionNames("volume")) {
            VolumeSettings volume = volume(name);
            volumes.add(volume);
            if (!ids.add(volume.id())) {
                ini.section("volume " + name)
                        .addError(
                                "id", "is " + volume.id() + ", which another volume already uses");
            }
        }
        return volumes;
    }

    private VolumeSettings volume(String name) {
        IniSection section = ini.section("volume " + name);
        List<String> classNames = trafficClasses.stream().map(TrafficClass::name).toList();
        List<String> planNames = plans.stream().map(TenantPlan::name).toList();
        long sizeBytes = section.bytes("size", null, SECTOR_BYTES, 1L << 50);
        if (sizeBytes % SECTOR_BYTES != 0) {
            section.addError("size", "is " + sizeBytes + " bytes, expected a multiple of 512");
        }
        int readClass = section.choice("read-band", null, classNames);
        int writeClass = section.choice("write-band", null, classNames);
        if (writeClass < trafficClasses.size()
                && !trafficClasses.get(writeClass).writes()
                && section.has("write-band")) {
            section.addError("write-band", "names a band without 'writes = yes'");
        }
        String bulkDefault = section.text("read-band", "");
        return new VolumeSettings(
                section.integer("id", null, 1, 1 << 23),
                name,
                section.text("description", ""),
                sizeBytes,
                section.choice("plan", null, planNames),
                section.integer("gateways", 1, 1, MAX_GATEWAYS),
                section.flag("read-only", false),
                readClass,
                writeClass,
                section.choice("bulk-band", bulkDefault, classNames),
                section.bytes("bulk-from", "256 KiB", 1, 1L << 40));
    }

    private Deployment deployment(List<String> zones, double maxUnits) {
        int gateways = gateway.integer("gateways", 1, 1, MAX_GATEWAYS);
        return new Deployment(
                gateway.integer("number", 0, 0, gateways - 1),
                gateways,
                gateway.choice("zone", zones.get(0), zones),
                trafficClasses,
                plans,
                servicePolicy(),
                site.millis("tick", "10 ms", 0.1, 1000),
                site.integer("shards", 64, 1, 1 << 20),
                site.number("usual-units", 1.0, 1e-6, MAX_NUMBER),
                Math.max(1, maxUnits),
                site.number("share-worth", 0.35, 0, 1),
                site.number("beyond-worth", 0.05, 0, 1),
                site.millis("use-period", "1 s", 0, DAY_MILLIS),
                true,
                true,
                site.millis("ask-within", "10 s", 100, DAY_MILLIS),
                Double.POSITIVE_INFINITY,
                false,
                true,
                true,
                site.millis("longest-advice", "1 s", 0, DAY_MILLIS),
                site.number("cross-zone-price", 0.0, 0, MAX_NUMBER),
                0,
                0,
                site.flag("weighs-nodes", false),
                List.of("queue"));
    }

    private ServicePolicy servicePolicy() {
        IniSection section = ini.section("rules");
        boolean hasRetryBudget = section.has("budget-window");
        return new ServicePolicy(
                section.millis("answer-grace", "10 ms", 0, DAY_MILLIS),
                section.millis("drain-grace", "1 s", 0, DAY_MILLIS),
                section.number("cold-share", 0.25, 0.001, 1),
                section.millis("cold-time", "10 s", 0, DAY_MILLIS),
                section.number("fall-multiple", 2.0, 1, 1000),
                section.millis("fall-time", "2 s", 1, DAY_MILLIS),
                section.number("cold-units", 8.0, 0, MAX_NUMBER),
                section.millis("key-rest", "0 ms", 0, DAY_MILLIS),
                hasRetryBudget ? section.number("budget-free", null, 0, MAX_NUMBER) : Double.NaN,
                hasRetryBudget ? section.number("budget-share", null, 0, 100) : Double.NaN,
                hasRetryBudget ? section.millis("budget-window", null, 1, DAY_MILLIS) : Double.NaN,
                section.integer("most-hops", 3, 1, 16),
                false);
    }

    private AccountsSettings accounts() {
        IniSection section = ini.section("accounts");
        return new AccountsSettings(
                section.flag("keep", true),
                path(section, "file"),
                section.millis("every", "10 s", 100, DAY_MILLIS));
    }

    private TracingSettings tracing() {
        IniSection section = ini.section("traces");
        String otlp = section.text("otlp", "");
        if (!otlp.isEmpty() && !otlp.matches("https?://[^\\s]+")) {
            section.addError("otlp", "is '" + otlp + "', expected http://host:port/v1/traces");
        }
        return new TracingSettings(
                path(section, "file"),
                section.bytes("file-bytes", "16 MiB", 4096, 1L << 32),
                section.integer("files", 4, 1, 100),
                otlp,
                section.number("budget", 20.0, 0, 10_000),
                section.number("chance", 0.001, 0, 1));
    }

    private MembershipSettings membership(List<String> zones) {
        IniSection section = ini.section("membership");
        double freshMillis = section.millis("fresh", "5 min", 0, DAY_MILLIS);
        double agedMillis = section.millis("aged", "24 h", 0, 365 * DAY_MILLIS);
        if (agedMillis < freshMillis) {
            section.addError("aged", "is shorter than fresh");
        }
        List<MembershipSettings.ConfiguredNode> nodes = new ArrayList<>();
        for (String name : ini.sectionNames("node")) {
            if (name.matches("[1-9][0-9]{0,8}")) {
                nodes.add(configuredNode(name, zones));
            } else {
                ini.addError(
                        "node " + name,
                        "",
                        "expected a section [node N] with the node's number, from 1");
            }
        }
        return new MembershipSettings(
                path(section, "list"),
                path(section, "holders"),
                freshMillis,
                agedMillis,
                section.integer("asked-at-once", 4, 1, 1000),
                nodes);
    }

    private MembershipSettings.ConfiguredNode configuredNode(String name, List<String> zones) {
        IniSection section = ini.section("node " + name);
        return new MembershipSettings.ConfiguredNode(
                Integer.parseInt(name),
                section.integer("cell", null, 0, 1 << 20),
                section.choice("zone", zones.get(0), zones),
                address(section, "address", null));
    }

    private static Path path(IniSection section, String key) {
        String text = section.text(key, "");
        try {
            return text.isEmpty() ? null : Path.of(text);
        } catch (InvalidPathException e) {
            section.addError(key, "is '" + text + "', which is not a valid path");
            return null;
        }
    }

    private static HostPort address(IniSection section, String key, String defaultText) {
        String text = section.text(key, defaultText);
        HostPort address = HostPort.read(text);
        if (address == null && !text.isEmpty()) {
            section.addError(key, "is '" + text + "', expected host:port");
        }
        return address;
    }
}
