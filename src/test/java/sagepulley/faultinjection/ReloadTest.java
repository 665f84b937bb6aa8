package sagepulley.faultinjection;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/**
 * Guards against reloads of a real process that are lost, and against sends to drained endpoints
 * after a reload.
 */
@Timeout(90)
@Execution(ExecutionMode.CONCURRENT)
class ReloadTest {
    private static final int SIGNALS = 20;
    private static final int FAILURES_IN_TEN_THOUSAND = 45;
    private static final long SHIM_SEED = 7;
    private static final long HOUR_MILLIS = 3_600_000;
    private static final long MAX_RELOAD_SECONDS = 5;

    /** Covers the 4 s of a reload, the drain grace of 1 s, and some seconds of sending. */
    private static final long OBSERVED_MILLIS = 10_000;

    @TempDir Path folder;

    @Test
    void reloadsOnEachSignalWhileSystemCallsFailAndTheWallClockSteps() throws Exception {
        SystemCallShim shim = SystemCallShim.in(folder);
        assumeTrue(shim != null, "no working C compiler");
        try (TestFleet fleet = new TestFleet(folder, 1, 4)) {
            shim.environment(SHIM_SEED, FAILURES_IN_TEN_THOUSAND).forEach(fleet::setEnvironment);
            GatewayProcess gateway = fleet.start(0).awaitReady();
            fleet.startLoad(0, 6, ClientLoad.ClientBehaviour.STEADY, 7);
            for (int i = 0; i < SIGNALS; i++) {
                shim.setWallClockOffset((i % 3 - 1) * HOUR_MILLIS);
                boolean isDown = i % 5 == 2;
                if (isDown) {
                    fleet.discovery.stop();
                }
                gateway.suspend("0.05");
                fleet.moveDiscovery(gateway);
                awaitReloaded(fleet, gateway);
                if (isDown) {
                    fleet.discovery.restore();
                }
            }
        }
    }

    /** The JVM keeps a signal ignored that was ignored at its start, as under nohup. */
    @Test
    void reloadsWhenStartedWithSighupIgnored() throws Exception {
        try (TestFleet fleet = new TestFleet(folder, 1, 4)) {
            fleet.setLauncher("sh", "-c", "trap '' HUP; exec \"$0\" \"$@\"");
            GatewayProcess gateway = fleet.start(0).awaitReady();
            fleet.startLoad(0, 6, ClientLoad.ClientBehaviour.STEADY, 8);
            Thread.sleep(1_000);
            fleet.discovery.stop();
            FleetChecks.drain(fleet, 0);
            fleet.moveDiscovery(gateway);
            fleet.discovery.restore();
            Thread.sleep(OBSERVED_MILLIS);
            FleetChecks.assertNoSendAfterGrace(fleet);
            awaitReloaded(fleet, gateway);
            FleetChecks.assertServedAgain(fleet);
        }
    }

    /**
     * Changes that discovery has at its new address count as notified although the file cannot be
     * read.
     */
    @Test
    void unreadableConfigurationEndsTheLeaseAndIsReadAgain() throws Exception {
        try (TestFleet fleet = new TestFleet(folder, 1, 4)) {
            GatewayProcess gateway = fleet.start(0).awaitReady();
            fleet.startLoad(0, 6, ClientLoad.ClientBehaviour.STEADY, 9);
            Thread.sleep(1_000);
            fleet.discovery.watchesSilent = true;
            FleetChecks.drain(fleet, 0);
            fleet.moveDiscovery(0);
            fleet.makeConfigUnreadable(0);
            fleet.signalReload(gateway);
            FleetChecks.drain(fleet, 1);
            Thread.sleep(OBSERVED_MILLIS);
            FleetChecks.assertNoSendAfterGrace(fleet);
            fleet.discovery.watchesSilent = false;
            fleet.moveDiscovery(0);
            awaitReloaded(fleet, gateway);
            FleetChecks.assertServedAgain(fleet);
        }
    }

    /**
     * An invalid file leaves the configuration unchanged; the next valid one is loaded without
     * another signal.
     */
    @Test
    void invalidConfigurationChangesNothingAndTheCorrectedFileIsLoaded() throws Exception {
        try (TestFleet fleet = new TestFleet(folder, 1, 4)) {
            GatewayProcess gateway = fleet.start(0).awaitReady();
            fleet.startLoad(0, 6, ClientLoad.ClientBehaviour.STEADY, 10);
            Thread.sleep(1_000);
            Files.writeString(fleet.configFile(0), "{\"name\": \"n0\"}");
            fleet.signalReload(gateway);
            Thread.sleep(OBSERVED_MILLIS);
            FleetChecks.assertServedAgain(fleet);
            fleet.moveDiscovery(0);
            awaitReloaded(fleet, gateway);
            FleetChecks.assertServedAgain(fleet);
        }
    }

    private static void awaitReloaded(TestFleet fleet, GatewayProcess gateway) {
        String line =
                "configuration reloaded discovery=/127.0.0.1:"
                        + fleet.discoveryAddress(0).getPort();
        await().atMost(MAX_RELOAD_SECONDS, TimeUnit.SECONDS)
                .untilAsserted(
                        () ->
                                assertTrue(
                                        gateway.logText().contains(line),
                                        () -> line + "\n" + gateway.logText()));
    }
}
