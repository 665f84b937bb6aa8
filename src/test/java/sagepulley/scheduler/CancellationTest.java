package sagepulley.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import sagepulley.model.Node;
import sagepulley.model.Operation;
import sagepulley.model.Outcome;

/** Tests the effects of client cancellations on the latency objective and on attempts in flight. */
class CancellationTest {
    @Test
    void earlyCancellationsShortenTheObjectiveAndCancelAttempts() {
        SchedulerHarness harness = new SchedulerHarness(1);
        for (int i = 0; i < 8; i++) {
            Operation operation = harness.submit(SchedulerHarness.BULK, 0);
            harness.advanceClock(60);
            harness.cancel(operation);
            harness.endAttempt(harness.lastAttempt(operation), Outcome.CANCELLED);
        }
        assertEquals(8, harness.cancelled.size());
        harness.advanceClock(2000);
        harness.rejected.clear();
        harness.nodes.get(0).phase = Node.Phase.DRAINING;
        harness.updateEndpointList();
        harness.submit(SchedulerHarness.BULK, 0);
        harness.advanceClock(70);
        assertEquals(1, harness.rejected.size(), "rejected long before its objective of 1.5 s");
    }

    @Test
    void cancellationsEarlierThanTheMeanServiceTimeAreIgnored() {
        SchedulerHarness harness = new SchedulerHarness(1);
        serveReads(harness, 30, 20);
        for (int i = 0; i < 10; i++) {
            Operation operation = harness.submit(SchedulerHarness.READ, 0);
            harness.advanceClock(4);
            harness.cancel(operation);
            harness.endAttempt(harness.lastAttempt(operation), Outcome.CANCELLED);
        }
        harness.nodes.get(0).phase = Node.Phase.DRAINING;
        harness.updateEndpointList();
        harness.submit(SchedulerHarness.READ, 0);
        harness.advanceClock(100);
        assertEquals(0, harness.rejected.size(), "the objective is still 250 ms");
    }

    @Test
    void attemptsResumeAfterManyEarlyCancellations() {
        SchedulerHarness harness = new SchedulerHarness(1);
        serveReads(harness, 30, 20);
        for (int i = 0; i < 10; i++) {
            Operation operation = harness.submit(SchedulerHarness.READ, 0);
            harness.advanceClock(22);
            if (operation.ended) {
                continue;
            }
            harness.cancel(operation);
            harness.endAttempt(harness.lastAttempt(operation), Outcome.CANCELLED);
            // The node is slow for a while: no response arrives before clients cancel.
            serveReads(harness, 2, 60);
        }
        int sentBefore = harness.sent.size();
        for (int i = 0; i < 200; i++) {
            Operation operation = harness.submit(SchedulerHarness.READ, 0);
            harness.advanceClock(10);
            if (!operation.ended) {
                harness.endAttempt(harness.lastAttempt(operation), Outcome.SERVED);
            }
        }
        assertTrue(
                harness.sent.size() - sentBefore > 100,
                "sent " + (harness.sent.size() - sentBefore));
    }

    /** Serves reads one after the other, each after the given time. */
    private static void serveReads(SchedulerHarness harness, int count, double serviceMillis) {
        for (int i = 0; i < count; i++) {
            Operation operation = harness.submit(SchedulerHarness.READ, 0);
            harness.advanceClock(serviceMillis);
            if (!operation.ended) {
                harness.endAttempt(harness.lastAttempt(operation), Outcome.SERVED);
            }
        }
    }
}
