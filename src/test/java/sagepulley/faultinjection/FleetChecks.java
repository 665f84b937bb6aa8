package sagepulley.faultinjection;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;

/** What several tests on a fleet of real processes do and check. */
final class FleetChecks {
    private static final long MAX_RECOVERY_SECONDS = 10;

    private FleetChecks() {}

    /** The store is listed as draining from now on. */
    static void drain(TestFleet fleet, int store) {
        fleet.discovery.endpoints.set(fleet.stores.get(store).endpoint(Endpoint.State.DRAINING, 0));
    }

    static void assertNoSendAfterGrace(TestFleet fleet) {
        List<Request> requests = fleet.requests();
        List<String> violations = new DrainRule(fleet).violations(fleet.arrivals(), requests);
        assertTrue(!requests.isEmpty(), "no request was made");
        assertEquals(
                0,
                violations.size(),
                () ->
                        violations.size()
                                + " of "
                                + requests.size()
                                + " requests; the last: "
                                + violations.get(violations.size() - 1)
                                + "\n"
                                + fleet.gateways.get(fleet.gateways.size() - 1).logText());
    }

    /** Some request that is sent from now on is served. */
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
