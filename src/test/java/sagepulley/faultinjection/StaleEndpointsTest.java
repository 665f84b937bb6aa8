package sagepulley.faultinjection;

import java.nio.file.Path;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against sends to drained endpoints while discovery is reachable but does not deliver its
 * list. The gateway counts as notified at the latest 6 s after discovery has the change.
 */
@Timeout(90)
@Execution(ExecutionMode.CONCURRENT)
class StaleEndpointsTest {
    private static final long OBSERVED_MILLIS = 13_000;

    @TempDir Path folder;

    static Stream<Arguments> discoveriesWithoutList() {
        return Stream.of(
                Arguments.of("rejects every call", DiscoveryBehaviour.rejecting()),
                Arguments.of(
                        "accepts calls without answering them", DiscoveryBehaviour.unresponsive()),
                Arguments.of(
                        "keeps calls waiting and then rejects them",
                        DiscoveryBehaviour.oneAtATime(60_000, 2_000, 100)));
    }

    /** A process killed and started again, none of whose discovery calls gets a list. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("discoveriesWithoutList")
    void restartedProcessWithoutListSendsNothingToDrainedEndpoint(
            String description, DiscoveryBehaviour behaviour) throws Exception {
        try (TestFleet fleet = new TestFleet(folder, 1, 4)) {
            fleet.start(0).awaitReady().kill();
            GatewayProcess restarted = fleet.start(0);
            fleet.discovery.behaviour = behaviour;
            FleetChecks.drain(fleet, 0);
            restarted.awaitReady();
            fleet.startLoad(0, 6, ClientLoad.ClientBehaviour.STEADY, 1);
            Thread.sleep(OBSERVED_MILLIS);
            FleetChecks.assertNoSendAfterGrace(fleet);
        }
    }

    /** A process that had a list and lost its watch, and whose later calls get no list. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("discoveriesWithoutList")
    void processWithLostWatchSendsNothingToDrainedEndpoint(
            String description, DiscoveryBehaviour behaviour) throws Exception {
        try (TestFleet fleet = new TestFleet(folder, 1, 4)) {
            drainAfterWatchReset(fleet, behaviour, 2);
            fleet.discovery.behaviour = DiscoveryBehaviour.HEALTHY;
            FleetChecks.assertServedAgain(fleet);
        }
    }

    /** An open but silent watch, while new calls are not answered. */
    @Test
    void processWithSilentWatchSendsNothingToDrainedEndpoint() throws Exception {
        try (TestFleet fleet = new TestFleet(folder, 1, 4)) {
            fleet.start(0).awaitReady();
            fleet.startLoad(0, 6, ClientLoad.ClientBehaviour.STEADY, 3);
            Thread.sleep(1_000);
            fleet.discovery.behaviour = DiscoveryBehaviour.unresponsive();
            fleet.discovery.watchesSilent = true;
            FleetChecks.drain(fleet, 0);
            Thread.sleep(OBSERVED_MILLIS);
            FleetChecks.assertNoSendAfterGrace(fleet);
        }
    }

    static Stream<Arguments> slowDiscoveries() {
        return Stream.of(
                Arguments.of("first byte after 3 s", DiscoveryBehaviour.delayed(3_000)),
                Arguments.of("a list that takes 3 s", DiscoveryBehaviour.trickling(3_000)),
                Arguments.of(
                        "one call at a time of 2.5 s",
                        DiscoveryBehaviour.oneAtATime(2_500, 20_000, 100)));
    }

    /** The list is applied and service continues as long as discovery answers at all. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("slowDiscoveries")
    void listFromSlowDiscoveryIsApplied(String description, DiscoveryBehaviour behaviour)
            throws Exception {
        try (TestFleet fleet = new TestFleet(folder, 1, 4)) {
            drainAfterWatchReset(fleet, behaviour, 4);
            FleetChecks.assertServedAgain(fleet);
        }
    }

    /**
     * A gateway does not count as notified during an outage, so an outage alone stops no service.
     */
    @Test
    void discoveryOutageAloneStopsNoService() throws Exception {
        try (TestFleet fleet = new TestFleet(folder, 1, 4)) {
            fleet.start(0).awaitReady();
            fleet.startLoad(0, 6, ClientLoad.ClientBehaviour.STEADY, 5);
            Thread.sleep(1_000);
            fleet.discovery.stop();
            Thread.sleep(OBSERVED_MILLIS);
            FleetChecks.assertServedAgain(fleet);
            FleetChecks.drain(fleet, 0);
            fleet.discovery.restore();
            Thread.sleep(OBSERVED_MILLIS);
            FleetChecks.assertNoSendAfterGrace(fleet);
        }
    }

    private static void drainAfterWatchReset(
            TestFleet fleet, DiscoveryBehaviour behaviour, long seed) throws Exception {
        fleet.start(0).awaitReady();
        fleet.startLoad(0, 6, ClientLoad.ClientBehaviour.STEADY, seed);
        Thread.sleep(1_000);
        fleet.discovery.behaviour = behaviour;
        fleet.discovery.resetConnections();
        FleetChecks.drain(fleet, 0);
        Thread.sleep(OBSERVED_MILLIS);
        FleetChecks.assertNoSendAfterGrace(fleet);
    }
}
