package sagepulley.faultinjection;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;

/** Actions and assertions shared by the tests on a fleet of real processes. */
final class FleetChecks {
    private static final long MAX_RECOVERY_SECONDS = 10;

    private FleetChecks() {}

    /** Lists a store as draining from now on. */
    static void drain(TestFleet fleet, int store) {
        fleet.discovery.endpoints.set(fleet.stores.get(store).endpoint(Endpoint.State.DRAINING, 0));
    }

    static void assertNoSendAfterGrace(TestFleet fleet) {
        List<Request> requests = fleet.requests();
        List<String> violations = new DrainRule(fleet).violations(fleet.arrivals(), requests);
        assertTrue(!requests.isEmpty(), "no request was sent");
        assertEquals(
                0,
                violations.size(),
                () ->
                        violations.size()
                                + " of "
                                + requests.size()
                                + " requests violate the drain grace; the last: "
                                + violations.get(violations.size() - 1)
                                + "\n"
                                + fleet.gateways.get(fleet.gateways.size() - 1).logText());
    }

    /** Asserts that a request sent from now on is served. */
    static void assertServedAgain(TestFleet fleet) {
        long from = System.nanoTime();
        await().atMost(MAX_RECOVERY_SECONDS, TimeUnit.SECONDS)
                .until(
                        () ->
                                fleet.requests().stream()
                                        .anyMatch(
                                                request ->
                                                        request.sentAt > from
                                                                && request.end
                                                                        == Request.End.SERVED));
    }
}
