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
 * Starts, kills and restarts the gateways of a scenario. Modified on the script thread and on the
 * thread of a restart; clients read the targets on their event loops.
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
    private final List<ScenarioRunner.GatewayLauncher.RunningGateway> running =
            new CopyOnWriteArrayList<>();
    private final List<SocketEventLog.GatewayIncarnation> incarnations =
            new CopyOnWriteArrayList<>();

    /** Creates the gateways of a scenario without starting them. */
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

    /** Returns the configuration of one gateway of a scenario. */
    static SiteConfig site(Scenario scenario, int index, InetSocketAddress directory)
            throws SiteConfigException {
        String text =
                LocalCluster.demoSite("gw-" + index, index, scenario.gateways(), 0, directory);
        if (!scenario.site().isBlank()) {
            // The script replaces all sections of the demo except the gateway's own.
            text =
                    text.substring(0, text.indexOf("[site]")).replace("zone = hall-a\n", "")
                            + scenario.site();
        }
        return SiteConfig.read(scenario.name(), text);
    }

    /** Returns the target that clients connect to, for each gateway. */
    List<LoadGenerator.GatewayTarget> targets() {
        return targets;
    }

    /** Starts all gateways for the first time. */
    void openAll() throws SiteConfigException {
        for (int i = 0; i < scenario.gateways(); i++) {
            targets.add(new LoadGenerator.GatewayTarget());
            running.add(null);
            incarnations.add(null);
            open(i);
        }
    }

    /** Kills a gateway without a graceful shutdown, if it is running. */
    void kill(int index) {
        targets.get(index).address = null;
        incarnations.get(index).endedAt = System.nanoTime();
        ScenarioRunner.GatewayLauncher.RunningGateway gateway = running.set(index, null);
        if (gateway != null) {
            gateway.kill().run();
        }
    }

    /** Restarts a gateway that was killed. A failure is logged. */
    void reopen(int index) {
        try {
            open(index);
        } catch (SiteConfigException | RuntimeException e) {
            LOG.atError().setCause(e).log("gateway restart failed");
        }
    }

    /** Kills the running gateways and returns their accounts in their stored form. */
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
        ScenarioRunner.GatewayLauncher.RunningGateway gateway =
                launcher.launch(site(scenario, index, directory), seed);
        running.set(index, gateway);
        incarnations.set(index, incarnation);
        targets.get(index).gateway = seed;
        targets.get(index).address = gateway.address();
    }
}
