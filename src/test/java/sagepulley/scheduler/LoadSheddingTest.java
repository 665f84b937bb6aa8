package sagepulley.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import sagepulley.model.Node;
import sagepulley.model.Operation;
import sagepulley.model.Outcome;
import sagepulley.model.Volume;

/** Tests load shedding: overload, late operations, client retries and Retry-After. */
class LoadSheddingTest {
    @Test
    void anOverloadedEndpointDoesNotPreventRetriesAtAnother() {
        SchedulerHarness harness = new SchedulerHarness(2);
        Volume surging = harness.volume(0);
        for (int i = 0; i < 40; i++) {
            harness.submit(SchedulerHarness.READ, surging, 100 + i, 2, 0);
        }
        harness.advanceClock(260);
        assertTrue(
                harness.rejected.size() > 20,
                "rejected at the overloaded endpoint: " + harness.rejected.size());
        Operation read = harness.submit(SchedulerHarness.READ, 1);
        harness.advanceClock(10);
        harness.endAttempt(harness.lastAttempt(read), Outcome.FAILED);
        assertEquals(2, read.attempts.size(), "the other endpoint is idle");
    }

    @Test
    void anOverloadPreventsRetriesAndAnOutageDoesNot() {
        SchedulerHarness outage = new SchedulerHarness(3);
        outage.nodes.get(0).phase = Node.Phase.DRAINING;
        outage.updateEndpointList();
        SchedulerHarness overload = new SchedulerHarness(3);
        for (SchedulerHarness harness : new SchedulerHarness[] {outage, overload}) {
            for (int i = 0; i < 8; i++) {
                harness.submit(SchedulerHarness.READ, 0);
            }
            if (harness == outage) {
                harness.advanceClock(252);
                assertEquals(8, harness.rejected.size());
            }
            Operation write = harness.submit(SchedulerHarness.WRITE, -1);
            harness.endAttempt(harness.lastAttempt(write), Outcome.FAILED);
            assertEquals(harness == outage ? 2 : 1, write.attempts.size());
        }
    }

    @Test
    void operationsAboveTheirShareWaitForAShorterQueueThanReservedOnes() {
        SchedulerHarness harness = new SchedulerHarness(1);
        for (int i = 0; i < 10; i++) {
            Operation read = harness.submit(SchedulerHarness.READ, 0);
            harness.advanceClock(i < 4 ? 10 : 90);
            harness.endAttempt(harness.lastAttempt(read), Outcome.SERVED);
        }
        Volume surging = harness.volume(0);
        for (int i = 0; i < 8; i++) {
            harness.submit(SchedulerHarness.READ, surging, 1000 + i, 6, 0);
        }
        harness.advanceClock(90);
        harness.serveAllInFlight();
        Operation beyondShare = harness.submit(SchedulerHarness.READ, surging, 2000, 6, 0);
        Operation reserved = harness.submit(SchedulerHarness.READ, 0);
        assertTrue(beyondShare.attempts.isEmpty());
        assertEquals(1, reserved.attempts.size());
        harness.endAttempt(harness.lastAttempt(reserved), Outcome.SERVED);
        harness.advanceClock(60_000);
        surging = harness.volume(0);
        for (int i = 0; i < 4; i++) {
            harness.submit(SchedulerHarness.READ, surging, 3000 + i, 6, 0);
        }
        assertEquals(
                4,
                harness.sent.stream().filter(attempt -> attempt.outcome == null).count(),
                "the queue estimate has decayed");
    }

    @Test
    void anAttemptTimesOutAtTheObjectiveWhereLateAnswersHaveLittleValue() {
        SchedulerHarness harness = new SchedulerHarness(1);
        harness.advanceClock(40);
        Operation read = harness.submit(SchedulerHarness.READ, 0);
        assertEquals(250, harness.timeoutOf(read), 1e-6);
    }

    @Test
    void aLateOperationGetsNoRetry() {
        SchedulerHarness harness = new SchedulerHarness(1);
        Operation read = harness.submit(SchedulerHarness.READ, 0);
        harness.advanceClock(250);
        harness.endAttempt(harness.lastAttempt(read), Outcome.FAILED);
        assertEquals(1, read.attempts.size());
        assertEquals(
                List.of(read), harness.rejected, "rejected immediately, not near its deadline");
    }

    @Test
    void anEarlyDeadlineAloneIsNotTreatedAsAClientRetry() {
        SchedulerHarness harness = new SchedulerHarness(1);
        Operation first = harness.submit(SchedulerHarness.READ, 0);
        harness.advanceClock(250);
        harness.endAttempt(harness.lastAttempt(first), Outcome.TIMED_OUT);
        harness.advanceClock(15_000);
        Operation shortDeadline =
                harness.submitWithDeadline(SchedulerHarness.READ, first.extent + 1_000, 0, 100);
        assertEquals(98, harness.timeoutOf(shortDeadline), 2, "the time to its deadline");
        harness.endAttempt(harness.lastAttempt(shortDeadline), Outcome.SERVED);
        harness.nodes.get(0).phase = Node.Phase.DRAINING;
        harness.updateEndpointList();
        Operation clientRetry =
                harness.submitWithDeadline(SchedulerHarness.READ, first.extent, 0, 1700);
        assertTrue(
                harness.rejected.contains(clientRetry),
                "the objective of the first request has ended");
    }

    @Test
    void retryAfterFollowsTheQueueAndIsMaximalForAnUnresponsiveEndpoint() {
        SchedulerHarness harness = new SchedulerHarness(1);
        for (int i = 0; i < 4; i++) {
            harness.submit(SchedulerHarness.BULK, 0);
        }
        harness.advanceClock(100);
        harness.serveAllInFlight();
        for (int i = 0; i < 40; i++) {
            harness.submit(SchedulerHarness.READ, harness.volume(0), 5000 + i, 6, 0);
        }
        harness.advanceClock(120);
        harness.serveAllInFlight();
        harness.advanceClock(140);
        assertTrue(
                harness.retryAfter > 0 && harness.retryAfter < 500,
                "retry after " + harness.retryAfter);
        harness.nodes.get(0).phase = Node.Phase.DRAINING;
        harness.updateEndpointList();
        harness.submit(SchedulerHarness.READ, 0);
        harness.advanceClock(252);
        assertEquals(harness.deployment.maxRetryAfter(), harness.retryAfter);
    }
}
