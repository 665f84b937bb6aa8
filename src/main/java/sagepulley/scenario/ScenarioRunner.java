package sagepulley.scenario;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sagepulley.config.SiteConfig;
import sagepulley.config.SiteConfigException;
import sagepulley.config.VolumeSettings;
import sagepulley.discovery.directory.DirectoryMessages;
import sagepulley.frontend.nbd.NbdGateway;
import sagepulley.persistence.GatewayAccounts;
import sagepulley.standin.NodeProfile;
import sagepulley.standin.StandInNode;

/**
 * Plays a scripted day through real gateways on loopback and judges it by what passed on the
 * sockets.
 */
public final class ScenarioRunner {
    private static final Logger LOG = LoggerFactory.getLogger(ScenarioRunner.class);
    private static final long MAX_END_WAIT_MILLIS = 30_000;

    /** What a day came to. */
    public record Result(
            String day,
            List<RuleVerdict> verdicts,
            Map<String, Double> service,
            List<String> unmet,
            long requests,
            long attempts,
            double stoodStill) {
        /** Whether every rule and promise was kept, and every expectation met. */
        public boolean good() {
            return unmet.isEmpty() && verdicts.stream().allMatch(RuleVerdict::kept);
        }
    }

    /** Opens a gateway; tests put a broken one in its place. */
    public interface Opener {
        /** A running gateway: where clients connect, its end as by a kill, and its accounts. */
        record Opened(
                InetSocketAddress address, Runnable kill, Supplier<GatewayAccounts> accounts) {}

        Opened open(SiteConfig site, long seed);
    }

    private final Scenario day;
    private final Opener opener;
    private final SocketEventLog eventLog = new SocketEventLog();
    private final BlockHistory history = new BlockHistory();
    private final List<LoadGenerator> loads = new ArrayList<>();
    private final List<LoadGenerator.GatewayTarget> targets = new ArrayList<>();
    private final List<Opener.Opened> gateways = new CopyOnWriteArrayList<>();
    private final List<SocketEventLog.GatewayIncarnation> incarnations =
            new CopyOnWriteArrayList<>();
    private final ScheduledExecutorService script =
            Executors.newSingleThreadScheduledExecutor(
                    task -> {
                        Thread thread = new Thread(task, "script");
                        thread.setDaemon(true);
                        return thread;
                    });
    private final List<GatewayAccounts> accounts = new ArrayList<>();
    private LocalCluster cluster;
    private final AtomicLong seeds;

    public ScenarioRunner(Scenario day) {
        this(
                day,
                (site, seed) -> {
                    NbdGateway gateway = LocalCluster.await(new NbdGateway(site, seed).start());
                    return new Opener.Opened(
                            gateway.address(),
                            () -> LocalCluster.await(gateway.kill()),
                            () -> LocalCluster.await(gateway.accountSnapshot()));
                });
    }

    public ScenarioRunner(Scenario day, Opener opener) {
        this.day = day;
        this.opener = opener;
        this.seeds = new AtomicLong(day.seed() * 1000);
    }

    /** Plays the day to its end. */
    public Result run() throws SiteConfigException {
        List<NodeProfile> profiles = new ArrayList<>();
        SiteConfig first = site(0, new InetSocketAddress("127.0.0.1", 1));
        var policy = first.deployment().policy();
        Scenario.Nodes nodes = day.nodes();
        for (int i = 1; i <= nodes.count(); i++) {
            profiles.add(
                    new NodeProfile(
                            i,
                            i,
                            (i - 1) % nodes.zones(),
                            0,
                            nodes.slots(),
                            nodes.readCostMillis(),
                            nodes.writeCostMillis(),
                            nodes.queue(),
                            first.extentBytes(),
                            policy.slowStartShare(),
                            policy.slowStartTime(),
                            policy.overloadMultiple(),
                            policy.overloadWindow(),
                            policy.slowStartUnits(),
                            nodes.deferredShare(),
                            nodes.deferIntervalMillis(),
                            null));
        }
        try (StallDetector stalls = new StallDetector();
                LocalCluster started = LocalCluster.start(profiles, eventLog, 3)) {
            cluster = started;
            stalls.watch(started.loops());
            for (int i = 0; i < day.gateways(); i++) {
                targets.add(new LoadGenerator.GatewayTarget());
                gateways.add(null);
                incarnations.add(null);
                open(i);
            }
            for (Scenario.Load load : day.loads()) {
                VolumeSettings volume =
                        first.volumes().stream()
                                .filter(one -> one.name().equals(load.volume()))
                                .findFirst()
                                .orElseThrow(
                                        () ->
                                                new SiteConfigException(
                                                        "load "
                                                                + load.name()
                                                                + ": no volume is called "
                                                                + load.volume()));
                loads.add(
                        new LoadGenerator(
                                load,
                                first,
                                volume,
                                targets,
                                eventLog,
                                history,
                                started.loops(),
                                day.seed() * 31 + loads.size()));
            }
            play();
            synchronized (eventLog) {
                RuleChecker checker =
                        new RuleChecker(eventLog, first, profiles, stalls.worstStallMillis());
                List<RuleVerdict> verdicts = new ArrayList<>(checker.verdicts());
                verdicts.add(
                        new RuleVerdict(
                                "reads show the last acknowledged write",
                                history.breaches().isEmpty(),
                                history.checkedBlocks() + " blocks read",
                                "all of them",
                                history.breaches()));
                Map<String, Double> service = checker.service();
                List<String> unmet = new ArrayList<>();
                for (Scenario.Expectation wanted : day.expectations()) {
                    double got = service.getOrDefault(wanted.volume(), 0.0);
                    if (!(got > wanted.minService())) {
                        unmet.add(
                                "service of "
                                        + wanted.volume()
                                        + " is "
                                        + Math.round(100 * got)
                                        + " %, expected over "
                                        + Math.round(100 * wanted.minService())
                                        + " %");
                    }
                }
                return new Result(
                        day.name(),
                        verdicts,
                        service,
                        unmet,
                        eventLog.requests.size(),
                        eventLog.received.size(),
                        stalls.worstStallMillis());
            }
        } finally {
            script.shutdownNow();
        }
    }

    private void play() {
        long start = System.nanoTime();
        for (Scenario.Event event : day.events()) {
            script.schedule(() -> begin(event), (long) event.atMillis(), TimeUnit.MILLISECONDS);
            if (!Double.isNaN(event.untilMillis())) {
                script.schedule(
                        () -> finish(event), (long) event.untilMillis(), TimeUnit.MILLISECONDS);
            }
        }
        loads.forEach(load -> load.start(start));
        CompletableFuture<Void> over = new CompletableFuture<>();
        script.schedule(() -> over.complete(null), (long) day.endMillis(), TimeUnit.MILLISECONDS);
        over.join();
        loads.forEach(LoadGenerator::stop);
        long until = System.nanoTime() + MAX_END_WAIT_MILLIS * 1_000_000;
        while (loads.stream().anyMatch(load -> load.openRequests() > 0)
                && System.nanoTime() < until) {
            try {
                Thread.sleep(10);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                break;
            }
        }
        loads.forEach(LoadGenerator::close);
        for (Opener.Opened gateway : gateways) {
            if (gateway != null) {
                accounts.add(gateway.accounts().get());
                gateway.kill().run();
            }
        }
    }

    /** The accounts of the gateways that stood at the end of the day, as they would go to disk. */
    public List<GatewayAccounts> accounts() {
        return accounts;
    }

    private void open(int index) throws SiteConfigException {
        long seed = seeds.incrementAndGet();
        SocketEventLog.GatewayIncarnation incarnation =
                eventLog.gatewayStarted(index, seed, System.nanoTime());
        Opener.Opened opened = opener.open(site(index, cluster.directory().address()), seed);
        gateways.set(index, opened);
        incarnations.set(index, incarnation);
        targets.get(index).gateway = seed;
        targets.get(index).address = opened.address();
    }

    private SiteConfig site(int index, InetSocketAddress directory) throws SiteConfigException {
        String text = LocalCluster.demoSite("gw-" + index, index, day.gateways(), 0, directory);
        if (!day.site().isBlank()) {
            // The script's own sections stand in place of the demo's; who the gateway is stays.
            text =
                    text.substring(0, text.indexOf("[site]")).replace("zone = hall-a\n", "")
                            + day.site();
        }
        return SiteConfig.read(day.name(), text);
    }

    private void begin(Scenario.Event event) {
        LOG.atInfo()
                .addKeyValue("fault", event.fault())
                .addKeyValue("whom", event.targets())
                .log("fault begins");
        try {
            switch (event.fault()) {
                case DIRECTORY_SILENT -> cluster.directory().setUnresponsive(true);
                case DIRECTORY_FAILING -> cluster.directory().setFailing(true);
                case DIRECTORY_LAGGING -> cluster.directory().delayNotifications(event.magnitude());
                case DIRECTORY_SLOW -> cluster.directory().delayAnswers(event.magnitude());
                case DIRECTORY_DOWN -> LocalCluster.await(cluster.directory().stop());
                case GATEWAY_KILLED -> kill(event.targets().get(0) - 1);
                case SURGE -> surge(event, event.magnitude());
                default -> nodes(event).forEach(node -> begin(event, node));
            }
        } catch (RuntimeException e) {
            LOG.atError().setCause(e).log("fault failed");
        }
    }

    private void finish(Scenario.Event event) {
        LOG.atInfo()
                .addKeyValue("fault", event.fault())
                .addKeyValue("whom", event.targets())
                .log("fault ends");
        try {
            switch (event.fault()) {
                case DIRECTORY_SILENT -> cluster.directory().setUnresponsive(false);
                case DIRECTORY_FAILING -> cluster.directory().setFailing(false);
                case DIRECTORY_LAGGING -> cluster.directory().delayNotifications(0);
                case DIRECTORY_SLOW -> cluster.directory().delayAnswers(0);
                case DIRECTORY_DOWN -> LocalCluster.await(cluster.directory().restart());
                // It may take until a directory is back: the script goes on meanwhile.
                case GATEWAY_KILLED ->
                        CompletableFuture.runAsync(() -> reopen(event.targets().get(0) - 1));
                case SURGE -> surge(event, 1);
                default -> nodes(event).forEach(node -> finish(event, node));
            }
        } catch (RuntimeException e) {
            LOG.atError().setCause(e).log("end of fault failed");
        }
    }

    private void reopen(int index) {
        try {
            open(index);
        } catch (SiteConfigException | RuntimeException e) {
            LOG.atError().setCause(e).log("gateway did not come back");
        }
    }

    private List<StandInNode> nodes(Scenario.Event event) {
        return event.targets().stream().map(number -> cluster.nodes().get(number - 1)).toList();
    }

    private void surge(Scenario.Event event, double times) {
        loads.stream()
                .filter(load -> load.load().name().equals(event.load()))
                .forEach(load -> load.setRateFactor(times));
    }

    private void kill(int index) {
        targets.get(index).address = null;
        incarnations.get(index).until = System.nanoTime();
        Opener.Opened gateway = gateways.set(index, null);
        if (gateway != null) {
            gateway.kill().run();
        }
    }

    private void begin(Scenario.Event event, StandInNode node) {
        switch (event.fault()) {
            case SILENT -> node.faults().unresponsive = true;
            case PAUSED -> node.pause(true);
            case REFUSING -> node.faults().rejecting = true;
            case UNREACHABLE -> {
                node.faults().unreachable = true;
                node.closeConnections();
            }
            case CUT -> node.closeConnections();
            case GARBLES -> node.faults().garbleNextAnswer = true;
            case SLOW -> node.faults().slowdownFactor = Math.max(1, event.magnitude());
            case LOSING -> node.faults().lostAnswerShare = event.magnitude();
            case ERRING -> node.faults().errorShare = event.magnitude();
            case DRAINS -> cluster.drain(node);
            case RESTARTS_COLD -> cluster.restartCold(node);
            case LOSES_POWER -> {
                LocalCluster.await(node.failPower());
                cluster.list(node, DirectoryMessages.Phase.READY);
            }
            case GONE -> {
                LocalCluster.await(node.stop());
                cluster.list(node, DirectoryMessages.Phase.GONE);
            }
            default -> throw new IllegalStateException("not a node's fault: " + event.fault());
        }
    }

    private void finish(Scenario.Event event, StandInNode node) {
        switch (event.fault()) {
            case SILENT -> node.faults().unresponsive = false;
            case PAUSED -> node.pause(false);
            case REFUSING -> node.faults().rejecting = false;
            case UNREACHABLE -> node.faults().unreachable = false;
            case SLOW -> node.faults().slowdownFactor = 1;
            case LOSING -> node.faults().lostAnswerShare = 0;
            case ERRING -> node.faults().errorShare = 0;
            case GONE -> cluster.restartCold(node);
            default -> {} // over at once, or for good
        }
    }

    /** A day that comes with the program. */
    public static String builtIn(String name) throws ScenarioException {
        return readResource(name + ".day");
    }

    static String readResource(String name) throws ScenarioException {
        try (InputStream from = ScenarioRunner.class.getResourceAsStream("/days/" + name)) {
            if (from == null) {
                throw new ScenarioException(name + ": no such file comes with the program");
            }
            return new String(from.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new ScenarioException(name + ": cannot be read: " + e.getMessage());
        }
    }
}
