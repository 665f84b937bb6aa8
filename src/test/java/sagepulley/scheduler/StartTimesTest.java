package sagepulley.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import sagepulley.model.Node;

/** An endpoint's start is reported by a wall clock that may be off, by seconds or by an hour. */
class StartTimesTest {
    private static final double HOUR = 3_600_000;
    private static final double SPAN = 6_000;

    /**
     * Off by so much, a node that has just restarted still counts as cold from when that is first
     * seen.
     */
    @ParameterizedTest
    @ValueSource(doubles = {-HOUR, -30_000, -11_000, 0, 5_000, HOUR})
    void aRestartCountsFromWhenItIsFirstSeen(double clockError) {
        SchedulerHarness harness = new SchedulerHarness(2, 0, 1, true, Double.NaN, SPAN);
        harness.scheduler.onListConfirmed(harness.now);
        harness.advanceClock(2_000);
        harness.scheduler.onListConfirmed(harness.now);
        harness.advanceClock(500);
        Node node = harness.nodes.get(0);
        node.startedAt = harness.now - 100 + clockError;
        harness.updateEndpointList();
        double age = harness.now - EndpointState.of(node).startedAt;
        assertTrue(age >= 0 && age <= 500, "counts as started " + age + " ms ago");
    }

    @ParameterizedTest
    @ValueSource(doubles = {-HOUR, HOUR})
    void aReportedStartIsNeitherInTheFutureNorLongAgo(double clockError) {
        SchedulerHarness harness = new SchedulerHarness(1, 0, 1, true, Double.NaN, SPAN);
        Node fresh = new Node(77);
        fresh.startedAt = harness.now + clockError;
        harness.nodes.add(fresh);
        harness.updateEndpointList();
        assertEquals(harness.now, EndpointState.of(fresh).startedAt);
    }

    @Test
    void aStartThatIsReportedAgainIsNoRestart() {
        SchedulerHarness harness = new SchedulerHarness(1, 0, 1, true, Double.NaN, SPAN);
        harness.scheduler.onListConfirmed(harness.now);
        Node node = harness.nodes.get(0);
        node.startedAt = harness.now + HOUR;
        harness.updateEndpointList();
        double startedAt = EndpointState.of(node).startedAt;
        harness.advanceClock(3_000);
        harness.updateEndpointList();
        assertEquals(startedAt, EndpointState.of(node).startedAt);
    }
}
