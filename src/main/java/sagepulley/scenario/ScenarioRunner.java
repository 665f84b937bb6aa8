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
    private static final long END_WAIT_MS = 30_000;

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
    private final List<LoadGenerator> loaders = new ArrayList<>();
    private final List<LoadGenerator.Door> doors = new ArrayList<>();
    private final List<Opener.Opened> gateways = new CopyOnWriteArrayList<>();
    private final List<SocketEventLog.Life> lives = new CopyOnWriteArrayList<>();
    private final ScheduledExecutorService script =
            Executors.newSingleThreadScheduledExecutor(
                    task -> {
                        Thread thread = new Thread(task, "script");
                        thread.setDaemon(true);
                        return thread;
                    });
    private final List<GatewayAccounts> books = new ArrayList<>();
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
        List<NodeProfile> traits = new ArrayList<>();
        SiteConfig first = site(0, new InetSocketAddress("127.0.0.1", 1));
        var policy = first.deployment().policy();
        Scenario.Nodes nodes = day.nodes();
        for (int i = 1; i <= nodes.count(); i++) {
            traits.add(
                    new NodeProfile(
                            i,
                            i,
                            (i - 1) % nodes.halls(),
                            0,
                            nodes.slots(),
                            nodes.readCost(),
                            nodes.writeCost(),
                            nodes.queue(),
                            first.extentBytes(),
                            policy.slowStartShare(),
                            policy.slowStartTime(),
                            policy.overloadMultiple(),
                            policy.overloadWindow(),
                            policy.slowStartUnits(),
                            nodes.deferredShare(),
                            nodes.deferEvery(),
                            null));
        }
        try (StallDetector machine = new StallDetector();
                LocalCluster all = LocalCluster.start(traits, eventLog, 3)) {
            cluster = all;
            machine.watch(all.loops());
            for (int i = 0; i < day.gateways(); i++) {
                doors.add(new LoadGenerator.Door());
                gateways.add(null);
                lives.add(null);
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
                loaders.add(
                        new LoadGenerator(
                                load,
                                first,
                                volume,
                                doors,
                                eventLog,
                                history,
                                all.loops(),
                                day.seed() * 31 + loaders.size()));
            }
            play();
            synchronized (eventLog) {
                RuleChecker judge = new RuleChecker(eventLog, first, traits, machine.stoodStill());
                List<RuleVerdict> verdicts = new ArrayList<>(judge.verdicts());
                verdicts.add(
                        new RuleVerdict(
                                "reads show the last acknowledged write",
                                history.breaches().isEmpty(),
                                history.checked() + " blocks read",
                                "all of them",
                                history.breaches()));
                Map<String, Double> service = judge.service();
                List<String> unmet = new ArrayList<>();
                for (Scenario.Expectation wanted : day.expectations()) {
                    double got = service.getOrDefault(wanted.volume(), 0.0);
                    if (!(got > wanted.over())) {
                        unmet.add(
                                "service of "
                                        + wanted.volume()
                                        + " is "
                                        + Math.round(100 * got)
                                        + " %, expected over "
                                        + Math.round(100 * wanted.over())
                                        + " %");
                    }
                }
                return new Result(
                        day.name(),
                        verdicts,
                        service,
                        unmet,
                        eventLog.asked.size(),
                        eventLog.came.size(),
                        machine.stoodStill());
            }
        } finally {
            script.shutdownNow();
        }
    }

    private void play() {
        long start = System.nanoTime();
        for (Scenario.Event event : day.events()) {
            script.schedule(() -> begin(event), (long) event.at(), TimeUnit.MILLISECONDS);
            if (!Double.isNaN(event.until())) {
                script.schedule(() -> finish(event), (long) event.until(), TimeUnit.MILLISECONDS);
            }
        }
        loaders.forEach(loader -> loader.start(start));
        CompletableFuture<Void> over = new CompletableFuture<>();
        script.schedule(() -> over.complete(null), (long) day.end(), TimeUnit.MILLISECONDS);
        over.join();
        loaders.forEach(LoadGenerator::stop);
        long until = System.nanoTime() + END_WAIT_MS * 1_000_000;
        while (loaders.stream().anyMatch(loader -> loader.open() > 0)
                && System.nanoTime() < until) {
            try {
                Thread.sleep(10);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                break;
            }
        }
        loaders.forEach(LoadGenerator::close);
        for (Opener.Opened gateway : gateways) {
            if (gateway != null) {
                books.add(gateway.accounts().get());
                gateway.kill().run();
            }
        }
    }

    /** The accounts of the gateways that stood at the end of the day, as they would go to disk. */
    public List<GatewayAccounts> books() {
        return books;
    }

    private void open(int index) throws SiteConfigException {
        long seed = seeds.incrementAndGet();
        SocketEventLog.Life life = eventLog.opened(index, seed, System.nanoTime());
        Opener.Opened opened = opener.open(site(index, cluster.directory().address()), seed);
        gateways.set(index, opened);
        lives.set(index, life);
        doors.get(index).gateway = seed;
        doors.get(index).address = opened.address();
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
                .addKeyValue("whom", event.whom())
                .log("fault begins");
        try {
            switch (event.fault()) {
                case DIRECTORY_SILENT -> cluster.directory().silent(true);
                case DIRECTORY_FAILING -> cluster.directory().failing(true);
                case DIRECTORY_LAGGING -> cluster.directory().lag(event.much());
                case DIRECTORY_SLOW -> cluster.directory().slow(event.much());
                case DIRECTORY_DOWN -> LocalCluster.await(cluster.directory().stop());
                case GATEWAY_KILLED -> kill(event.whom().get(0) - 1);
                case SURGE -> surge(event, event.much());
                default -> nodes(event).forEach(node -> begin(event, node));
            }
        } catch (RuntimeException e) {
            LOG.atError().setCause(e).log("fault failed");
        }
    }

    private void finish(Scenario.Event event) {
        LOG.atInfo()
                .addKeyValue("fault", event.fault())
                .addKeyValue("whom", event.whom())
                .log("fault ends");
        try {
            switch (event.fault()) {
                case DIRECTORY_SILENT -> cluster.directory().silent(false);
                case DIRECTORY_FAILING -> cluster.directory().failing(false);
                case DIRECTORY_LAGGING -> cluster.directory().lag(0);
                case DIRECTORY_SLOW -> cluster.directory().slow(0);
                case DIRECTORY_DOWN -> LocalCluster.await(cluster.directory().restart());
                // It may take until a directory is back: the script goes on meanwhile.
                case GATEWAY_KILLED ->
                        CompletableFuture.runAsync(() -> reopen(event.whom().get(0) - 1));
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
        return event.whom().stream().map(number -> cluster.nodes().get(number - 1)).toList();
    }

    private void surge(Scenario.Event event, double times) {
        loaders.stream()
                .filter(loader -> loader.load().name().equals(event.load()))
                .forEach(loader -> loader.surge(times));
    }

    private void kill(int index) {
        doors.get(index).address = null;
        lives.get(index).until = System.nanoTime();
        Opener.Opened gateway = gateways.set(index, null);
        if (gateway != null) {
            gateway.kill().run();
        }
    }

    private void begin(Scenario.Event event, StandInNode node) {
        switch (event.fault()) {
            case SILENT -> node.faults().silent = true;
            case PAUSED -> node.pause(true);
            case REFUSING -> node.faults().refusing = true;
            case UNREACHABLE -> {
                node.faults().unreachable = true;
                node.cut();
            }
            case CUT -> node.cut();
            case GARBLES -> node.faults().garble = true;
            case SLOW -> node.faults().slow = Math.max(1, event.much());
            case LOSING -> node.faults().losing = event.much();
            case ERRING -> node.faults().erring = event.much();
            case DRAINS -> cluster.drain(node);
            case RESTARTS_COLD -> cluster.restartCold(node);
            case LOSES_POWER -> {
                LocalCluster.await(node.powerFails());
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
            case SILENT -> node.faults().silent = false;
            case PAUSED -> node.pause(false);
            case REFUSING -> node.faults().refusing = false;
            case UNREACHABLE -> node.faults().unreachable = false;
            case SLOW -> node.faults().slow = 1;
            case LOSING -> node.faults().losing = 0;
            case ERRING -> node.faults().erring = 0;
            case GONE -> cluster.restartCold(node);
            default -> {} // over at once, or for good
        }
    }

    /** A day that comes with the program. */
    public static String builtIn(String name) throws ScenarioException {
        return comesWith(name + ".day");
    }

    static String comesWith(String name) throws ScenarioException {
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
