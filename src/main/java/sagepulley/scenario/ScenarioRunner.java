package sagepulley.scenario;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import sagepulley.config.SiteConfig;
import sagepulley.config.SiteConfigException;
import sagepulley.config.VolumeSettings;
import sagepulley.frontend.nbd.NbdGateway;
import sagepulley.model.ServicePolicy;
import sagepulley.persistence.GatewayAccounts;
import sagepulley.standin.NodeProfile;

/**
 * Runs a scripted scenario through real gateways on loopback and checks the traffic that was
 * recorded at the sockets. Scripted events run on a dedicated thread.
 */
public final class ScenarioRunner {
    private static final int CLUSTER_LOOPS = 3;
    private static final long MAX_OPEN_REQUEST_WAIT_MILLIS = 30_000;
    private static final long OPEN_REQUEST_POLL_MILLIS = 10;

    /**
     * The result of a scenario run. The components are the fields of the JSON output.
     *
     * @param scenario the name of the scenario
     * @param verdicts the verdict on each rule and on the data that reads returned
     * @param service for each volume, the weighted share of its requests served within their
     *     latency objective, 0 to 1
     * @param unmetExpectations descriptions of the expectations that were not met
     * @param requests the number of requests that clients sent
     * @param attempts the number of attempts that reached a node
     * @param stallMillis the stalls of the run, see {@link StallDetector#worstStallMillis}
     */
    public record Result(
            @JsonProperty("day") String scenario,
            List<RuleVerdict> verdicts,
            Map<String, Double> service,
            @JsonProperty("unmet") List<String> unmetExpectations,
            long requests,
            long attempts,
            @JsonProperty("stoodStill") double stallMillis) {
        /** Returns whether every verdict is satisfied and every expectation was met. */
        public boolean passed() {
            return unmetExpectations.isEmpty()
                    && verdicts.stream().allMatch(RuleVerdict::satisfied);
        }
    }

    /** Starts the gateways of a scenario. Tests substitute gateways that break the rules. */
    public interface GatewayLauncher {
        /**
         * A running gateway.
         *
         * @param address the address that clients connect to
         * @param kill ends the gateway without a graceful shutdown
         * @param accounts takes a snapshot of the gateway's latency accounts
         */
        record RunningGateway(
                InetSocketAddress address, Runnable kill, Supplier<GatewayAccounts> accounts) {}

        /** Starts a gateway. The seed also identifies its incarnation. */
        RunningGateway launch(SiteConfig site, long seed);
    }

    private final Scenario scenario;
    private final GatewayLauncher launcher;
    private final SocketEventLog eventLog = new SocketEventLog();
    private final BlockHistory history = new BlockHistory();
    private final List<LoadGenerator> loads = new ArrayList<>();
    private final List<GatewayAccounts> accounts = new ArrayList<>();
    private final ScheduledExecutorService scriptExecutor =
            Executors.newSingleThreadScheduledExecutor(
                    task -> {
                        Thread thread = new Thread(task, "script");
                        thread.setDaemon(true);
                        return thread;
                    });

    /** Creates a run of a scenario through the gateways of this program. */
    public ScenarioRunner(Scenario scenario) {
        this(scenario, ScenarioRunner::launchGateway);
    }

    /** Creates a run of a scenario through the gateways that a launcher starts. */
    public ScenarioRunner(Scenario scenario, GatewayLauncher launcher) {
        this.scenario = scenario;
        this.launcher = launcher;
    }

    private static GatewayLauncher.RunningGateway launchGateway(SiteConfig site, long seed) {
        NbdGateway gateway = LocalCluster.await(new NbdGateway(site, seed).start());
        return new GatewayLauncher.RunningGateway(
                gateway.address(),
                () -> LocalCluster.await(gateway.kill()),
                () -> LocalCluster.await(gateway.accountSnapshot()));
    }

    /** Runs the scenario to its end and returns the result. */
    public Result run() throws SiteConfigException {
        SiteConfig site = ScenarioGateways.site(scenario, 0, new InetSocketAddress("127.0.0.1", 1));
        List<NodeProfile> profiles = profiles(site);
        try (StallDetector stalls = new StallDetector();
                LocalCluster cluster = LocalCluster.start(profiles, eventLog, CLUSTER_LOOPS)) {
            stalls.watch(cluster.loops());
            ScenarioGateways gateways =
                    new ScenarioGateways(
                            scenario, launcher, eventLog, cluster.directory().address());
            gateways.openAll();
            for (Scenario.Load load : scenario.loads()) {
                loads.add(
                        new LoadGenerator(
                                load,
                                site,
                                findVolume(site, load),
                                gateways.targets(),
                                eventLog,
                                history,
                                cluster.loops(),
                                scenario.seed() * 31 + loads.size()));
            }
            runScript(new FaultInjector(cluster, gateways, loads));
            accounts.addAll(gateways.closeAll());
            synchronized (eventLog) {
                double stallMillis = stalls.worstStallMillis();
                return result(new RuleChecker(eventLog, site, profiles, stallMillis), stallMillis);
            }
        } finally {
            scriptExecutor.shutdownNow();
        }
    }

    /** Returns the accounts of the gateways that ran at the end, in their stored form. */
    public List<GatewayAccounts> accounts() {
        return accounts;
    }

    private List<NodeProfile> profiles(SiteConfig site) {
        ServicePolicy policy = site.deployment().policy();
        Scenario.Nodes nodes = scenario.nodes();
        List<NodeProfile> profiles = new ArrayList<>();
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
                            site.extentBytes(),
                            policy.slowStartShare(),
                            policy.slowStartTime(),
                            policy.overloadMultiple(),
                            policy.overloadWindow(),
                            policy.slowStartUnits(),
                            nodes.deferredShare(),
                            nodes.deferIntervalMillis(),
                            null));
        }
        return profiles;
    }

    private static VolumeSettings findVolume(SiteConfig site, Scenario.Load load)
            throws SiteConfigException {
        return site.volumes().stream()
                .filter(volume -> volume.name().equals(load.volume()))
                .findFirst()
                .orElseThrow(
                        () ->
                                new SiteConfigException(
                                        "load "
                                                + load.name()
                                                + ": no volume is named "
                                                + load.volume()));
    }

    private void runScript(FaultInjector faults) {
        long start = System.nanoTime();
        for (Scenario.Event event : scenario.events()) {
            scriptExecutor.schedule(
                    () -> faults.begin(event), (long) event.atMillis(), TimeUnit.MILLISECONDS);
            if (!Double.isNaN(event.untilMillis())) {
                scriptExecutor.schedule(
                        () -> faults.end(event), (long) event.untilMillis(), TimeUnit.MILLISECONDS);
            }
        }
        loads.forEach(load -> load.start(start));
        CompletableFuture<Void> ended = new CompletableFuture<>();
        scriptExecutor.schedule(
                () -> ended.complete(null), (long) scenario.endMillis(), TimeUnit.MILLISECONDS);
        ended.join();
        loads.forEach(LoadGenerator::stop);
        awaitOpenRequests();
        loads.forEach(LoadGenerator::close);
    }

    private void awaitOpenRequests() {
        long deadlineNanos =
                System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_OPEN_REQUEST_WAIT_MILLIS);
        while (loads.stream().anyMatch(load -> load.openRequests() > 0)
                && System.nanoTime() < deadlineNanos) {
            try {
                Thread.sleep(OPEN_REQUEST_POLL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private Result result(RuleChecker checker, double stallMillis) {
        List<RuleVerdict> verdicts = new ArrayList<>(checker.verdicts());
        verdicts.add(
                new RuleVerdict(
                        "reads show the last acknowledged write",
                        history.breaches().isEmpty(),
                        history.checkedBlocks() + " blocks checked",
                        "every block",
                        history.breaches()));
        Map<String, Double> service = checker.service();
        return new Result(
                scenario.name(),
                verdicts,
                service,
                unmetExpectations(service),
                eventLog.requests.size(),
                eventLog.received.size(),
                stallMillis);
    }

    private List<String> unmetExpectations(Map<String, Double> service) {
        List<String> descriptions = new ArrayList<>();
        for (Scenario.Expectation expected : scenario.expectations()) {
            double share = service.getOrDefault(expected.volume(), 0.0);
            if (!(share > expected.minService())) {
                descriptions.add(
                        "service of "
                                + expected.volume()
                                + " is "
                                + Math.round(100 * share)
                                + " %, expected over "
                                + Math.round(100 * expected.minService())
                                + " %");
            }
        }
        return descriptions;
    }

    /** Returns the script of a built-in scenario. */
    public static String builtIn(String name) throws ScenarioException {
        return readResource(name + ".day");
    }

    /** Returns the text of a file in the resource directory of the built-in scenarios. */
    static String readResource(String name) throws ScenarioException {
        try (InputStream from = ScenarioRunner.class.getResourceAsStream("/days/" + name)) {
            if (from == null) {
                throw new ScenarioException(name + ": not found among the built-in scenarios");
            }
            return new String(from.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new ScenarioException(
                    name + ": failed to read the built-in file: " + e.getMessage());
        }
    }
}
