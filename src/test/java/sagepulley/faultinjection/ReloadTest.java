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
 * New configurations on a real process: each one is acted on, whatever stands in its way, and the
 * list follows it.
 */
@Timeout(90)
@Execution(ExecutionMode.CONCURRENT)
class ReloadTest {
    private static final int SIGNALS = 20;
    private static final int FAILURES_IN_TEN_THOUSAND = 45;
    private static final long SHIM_SEED = 7;
    private static final long HOUR_MILLIS = 3_600_000;
    private static final long MAX_RELOAD_SECONDS = 5;

    /** Longer than a reload's 4 s, the grace of 1 s, and some seconds of sending. */
    private static final long OBSERVED_MILLIS = 10_000;

    @TempDir Path folder;

    @Test
    void reloadsOnEachSignalWhileSystemCallsFailAndTheWallClockSteps() throws Exception {
        SystemCallShim shim = SystemCallShim.in(folder);
        assumeTrue(shim != null, "there is no C compiler");
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

    /** As under nohup: the JVM leaves a signal ignored that was ignored at its start. */
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
     * The file is no text for a while: what discovery has at its new address counts as notified all
     * the same.
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
     * A file that is wrong leaves all as it was; the next one that is right is taken without
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
