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
    private static final long HOUR_MS = 3_600_000;
    private static final long ACTED_ON_WITHIN_S = 5;

    /** Longer than a reload's 4 s, the grace of 1 s, and some seconds of sending. */
    private static final long WATCHED_MS = 10_000;

    @TempDir Path folder;

    @Test
    void eachSignalIsActedOnWhileSystemCallsFailAndTheWallClockSteps() throws Exception {
        SystemCallShim shim = SystemCallShim.in(folder);
        assumeTrue(shim != null, "there is no C compiler");
        try (TestFleet fleet = new TestFleet(folder, 1, 4)) {
            shim.environment(SHIM_SEED, FAILURES_IN_TEN_THOUSAND).forEach(fleet::environment);
            GatewayProcess gateway = fleet.start(0).awaitReady();
            fleet.load(0, 6, ClientLoad.ClientBehaviour.STEADY, 7);
            for (int i = 0; i < SIGNALS; i++) {
                shim.step((i % 3 - 1) * HOUR_MS);
                boolean isDown = i % 5 == 2;
                if (isDown) {
                    fleet.discovery.goDown();
                }
                gateway.suspend("0.05");
                fleet.moveDiscovery(gateway);
                awaitActedOn(fleet, gateway);
                if (isDown) {
                    fleet.discovery.comeBack();
                }
            }
        }
    }

    /** As under nohup: the JVM leaves a signal ignored that was ignored at its start. */
    @Test
    void aProcessThatWasStartedWithHangupsIgnoredFollowsItsFile() throws Exception {
        try (TestFleet fleet = new TestFleet(folder, 1, 4)) {
            fleet.launchThrough("sh", "-c", "trap '' HUP; exec \"$0\" \"$@\"");
            GatewayProcess gateway = fleet.start(0).awaitReady();
            fleet.load(0, 6, ClientLoad.ClientBehaviour.STEADY, 8);
            Thread.sleep(1_000);
            fleet.discovery.goDown();
            FleetChecks.drain(fleet, 0);
            fleet.moveDiscovery(gateway);
            fleet.discovery.comeBack();
            Thread.sleep(WATCHED_MS);
            FleetChecks.assertNoSendAfterGrace(fleet);
            awaitActedOn(fleet, gateway);
            FleetChecks.assertServedAgain(fleet);
        }
    }

    /**
     * The file is no text for a while: what discovery has at its new address counts as notified all
     * the same.
     */
    @Test
    void aConfigurationThatCannotBeReadAtFirstStopsTheLeaseAndIsReadAgain() throws Exception {
        try (TestFleet fleet = new TestFleet(folder, 1, 4)) {
            GatewayProcess gateway = fleet.start(0).awaitReady();
            fleet.load(0, 6, ClientLoad.ClientBehaviour.STEADY, 9);
            Thread.sleep(1_000);
            fleet.discovery.watchesSilent = true;
            FleetChecks.drain(fleet, 0);
            fleet.moveDiscovery(0);
            fleet.makeConfigUnreadable(0);
            fleet.signalReload(gateway);
            FleetChecks.drain(fleet, 1);
            Thread.sleep(WATCHED_MS);
            FleetChecks.assertNoSendAfterGrace(fleet);
            fleet.discovery.watchesSilent = false;
            fleet.moveDiscovery(0);
            awaitActedOn(fleet, gateway);
            FleetChecks.assertServedAgain(fleet);
        }
    }

    /**
     * A file that is wrong leaves all as it was; the next one that is right is taken without
     * another signal.
     */
    @Test
    void aConfigurationThatIsWrongLeavesAllAsItWasUntilItIsMended() throws Exception {
        try (TestFleet fleet = new TestFleet(folder, 1, 4)) {
            GatewayProcess gateway = fleet.start(0).awaitReady();
            fleet.load(0, 6, ClientLoad.ClientBehaviour.STEADY, 10);
            Thread.sleep(1_000);
            Files.writeString(fleet.configFile(0), "{\"name\": \"n0\"}");
            fleet.signalReload(gateway);
            Thread.sleep(WATCHED_MS);
            FleetChecks.assertServedAgain(fleet);
            fleet.moveDiscovery(0);
            awaitActedOn(fleet, gateway);
            FleetChecks.assertServedAgain(fleet);
        }
    }

    private static void awaitActedOn(TestFleet fleet, GatewayProcess gateway) {
        String line =
                "configuration reloaded discovery=/127.0.0.1:"
                        + fleet.discoveryAddress(0).getPort();
        await().atMost(ACTED_ON_WITHIN_S, TimeUnit.SECONDS)
                .untilAsserted(
                        () ->
                                assertTrue(
                                        gateway.logText().contains(line),
                                        () -> line + "\n" + gateway.logText()));
    }
}
