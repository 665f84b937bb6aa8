package sagepulley.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import sagepulley.model.Node;

/** Tests start times reported by wall clocks that are off by seconds or by an hour. */
class StartTimesTest {
    private static final double HOUR_MILLIS = 3_600_000;
    private static final double NOTIFICATION_SPAN_MILLIS = 6_000;

    /**
     * Guards against an endpoint that skips slow start after a restart because of a clock error.
     */
    @ParameterizedTest
    @ValueSource(doubles = {-HOUR_MILLIS, -30_000, -11_000, 0, 5_000, HOUR_MILLIS})
    void restartCountsFromItsFirstObservation(double clockErrorMillis) {
        SchedulerHarness harness =
                new SchedulerHarness(2, 0, 1, true, Double.NaN, NOTIFICATION_SPAN_MILLIS);
        harness.scheduler.onListConfirmed(harness.now);
        harness.advanceClock(2_000);
        harness.scheduler.onListConfirmed(harness.now);
        harness.advanceClock(500);
        Node node = harness.nodes.get(0);
        node.startedAt = harness.now - 100 + clockErrorMillis;
        harness.updateEndpointList();
        double ageMillis = harness.now - EndpointState.of(node).startedAt;
        assertTrue(
                ageMillis >= 0 && ageMillis <= 500, "counted as started " + ageMillis + " ms ago");
    }

    @ParameterizedTest
    @ValueSource(doubles = {-HOUR_MILLIS, HOUR_MILLIS})
    void newEndpointWithAnImplausibleStartCountsAsStartedNow(double clockErrorMillis) {
        SchedulerHarness harness =
                new SchedulerHarness(1, 0, 1, true, Double.NaN, NOTIFICATION_SPAN_MILLIS);
        Node added = new Node(77);
        added.startedAt = harness.now + clockErrorMillis;
        harness.nodes.add(added);
        harness.updateEndpointList();
        assertEquals(harness.now, EndpointState.of(added).startedAt);
    }

    @Test
    void repeatedReportOfTheSameStartIsNoRestart() {
        SchedulerHarness harness =
                new SchedulerHarness(1, 0, 1, true, Double.NaN, NOTIFICATION_SPAN_MILLIS);
        harness.scheduler.onListConfirmed(harness.now);
        Node node = harness.nodes.get(0);
        node.startedAt = harness.now + HOUR_MILLIS;
        harness.updateEndpointList();
        double startedAt = EndpointState.of(node).startedAt;
        harness.advanceClock(3_000);
        harness.updateEndpointList();
        assertEquals(startedAt, EndpointState.of(node).startedAt);
    }
}
