package sagepulley.scenario;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sagepulley.config.SiteConfig;
import sagepulley.config.SiteConfigException;
import sagepulley.persistence.GatewayAccounts;

/**
 * The gateways of a scenario, which are killed and opened again. Changed on the script's thread and
 * on that of a reopening; clients read the targets on their loops.
 */
final class ScenarioGateways {
    private static final Logger LOG = LoggerFactory.getLogger(ScenarioGateways.class);
    private static final int SEEDS_PER_SCENARIO = 1000;

    private final Scenario scenario;
    private final ScenarioRunner.GatewayLauncher launcher;
    private final SocketEventLog eventLog;
    private final InetSocketAddress directory;
    private final AtomicLong lastSeed;
    private final List<LoadGenerator.GatewayTarget> targets = new ArrayList<>();
    private final List<ScenarioRunner.GatewayLauncher.RunningGateway> running = new CopyOnWriteArrayList<>();
    private final List<SocketEventLog.GatewayIncarnation> incarnations =
            new CopyOnWriteArrayList<>();

    /** Gateways of a scenario that find their nodes through a directory; none is open yet. */
    ScenarioGateways(
            Scenario scenario,
            ScenarioRunner.GatewayLauncher launcher,
            SocketEventLog eventLog,
            InetSocketAddress directory) {
        this.scenario = scenario;
        this.launcher = launcher;
        this.eventLog = eventLog;
        this.directory = directory;
        this.lastSeed = new AtomicLong(scenario.seed() * SEEDS_PER_SCENARIO);
    }

    /** The configuration of one of a scenario's gateways. */
    static SiteConfig site(Scenario scenario, int index, InetSocketAddress directory)
            throws SiteConfigException {
        String text =
                LocalCluster.demoSite("gw-" + index, index, scenario.gateways(), 0, directory);
        if (!scenario.site().isBlank()) {
            // The script's own sections replace the demo's; who the gateway is stays.
            text =
                    text.substring(0, text.indexOf("[site]")).replace("zone = hall-a\n", "")
                            + scenario.site();
        }
        return SiteConfig.read(scenario.name(), text);
    }

    /** Where clients connect, by gateway. */
    List<LoadGenerator.GatewayTarget> targets() {
        return targets;
    }

    /** Opens all of them for the first time. */
    void openAll() throws SiteConfigException {
        for (int i = 0; i < scenario.gateways(); i++) {
            targets.add(new LoadGenerator.GatewayTarget());
            running.add(null);
            incarnations.add(null);
            open(i);
        }
    }

    /** Ends one as by a kill, unless it has ended already. */
    void kill(int index) {
        targets.get(index).address = null;
        incarnations.get(index).endedAt = System.nanoTime();
        ScenarioRunner.GatewayLauncher.RunningGateway gateway = running.set(index, null);
        if (gateway != null) {
            gateway.kill().run();
        }
    }

    /** Opens one that was killed; a failure is logged. */
    void reopen(int index) {
        try {
            open(index);
        } catch (SiteConfigException | RuntimeException e) {
            LOG.atError().setCause(e).log("gateway did not come back");
        }
    }

    /** Ends those that are open; gives their accounts as they would go to disk. */
    List<GatewayAccounts> closeAll() {
        List<GatewayAccounts> accounts = new ArrayList<>();
        for (ScenarioRunner.GatewayLauncher.RunningGateway gateway : running) {
            if (gateway != null) {
                accounts.add(gateway.accounts().get());
                gateway.kill().run();
            }
        }
        return accounts;
    }

    private void open(int index) throws SiteConfigException {
        long seed = lastSeed.incrementAndGet();
        SocketEventLog.GatewayIncarnation incarnation =
                eventLog.gatewayStarted(index, seed, System.nanoTime());
        ScenarioRunner.GatewayLauncher.RunningGateway gateway = launcher.launch(site(scenario, index, directory), seed);
        running.set(index, gateway);
        incarnations.set(index, incarnation);
        targets.get(index).gateway = seed;
        targets.get(index).address = gateway.address();
    }
}
