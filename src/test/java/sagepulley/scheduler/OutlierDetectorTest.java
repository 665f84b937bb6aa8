package sagepulley.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import sagepulley.model.Attempt;
import sagepulley.model.Node;
import sagepulley.model.Operation;
import sagepulley.model.Outcome;
import sagepulley.model.Volume;

/** Tests the handling of endpoints that are unresponsive, reject attempts, fail or are slow. */
class OutlierDetectorTest {
    @Test
    void anUnresponsiveEndpointGetsOneProbationRequestAtATimeAndNoNewObjects() {
        SchedulerHarness harness = new SchedulerHarness(2);
        harness.submit(SchedulerHarness.BULK, 0);
        harness.advanceClock(200);
        for (int i = 0; i < 6; i++) {
            harness.submit(SchedulerHarness.BULK, 0);
            harness.submit(SchedulerHarness.WRITE, -1);
            harness.endAttempt(
                    harness.lastAttempt(harness.submitted.get(harness.submitted.size() - 1)),
                    Outcome.SERVED);
        }
        assertEquals(
                2,
                sentTo(harness, 0),
                "the attempt that found it unresponsive, and one probation request");
        harness.advanceClock(70);
        assertEquals(
                2,
                sentTo(harness, 0),
                "the next probation request waits for a fraction of the shortest objective");
        harness.advanceClock(10);
        assertEquals(3, sentTo(harness, 0), "one more probation request");
        for (int i = 0; i < harness.sent.size(); i++) {
            if (harness.sent.get(i).outcome == null) {
                harness.endAttempt(harness.sent.get(i), Outcome.SERVED);
            }
        }
        harness.advanceClock(6000);
        long before = sentTo(harness, 0);
        harness.submit(SchedulerHarness.READ, 0);
        harness.submit(SchedulerHarness.READ, 0);
        assertEquals(before + 2, sentTo(harness, 0), "a served attempt ends the ejection");
    }

    @Test
    void aRejectionDoesNotEndAnEjection() {
        SchedulerHarness harness = new SchedulerHarness(2);
        Operation timedOut = harness.submit(SchedulerHarness.BULK, 0);
        harness.advanceClock(500);
        harness.endAttempt(harness.lastAttempt(timedOut), Outcome.TIMED_OUT);
        assertEquals(2, sentTo(harness, 0), "the retry is the probation request");
        harness.endAttempt(harness.lastAttempt(timedOut), Outcome.REJECTED);
        harness.submit(SchedulerHarness.BULK, 0);
        assertEquals(2, sentTo(harness, 0), "the next probation request is not due");
    }

    @Test
    void aRejectionDoesNotMakeAnEndpointUnresponsive() {
        SchedulerHarness harness = new SchedulerHarness(2);
        Operation rejected = harness.submit(SchedulerHarness.BULK, 0);
        harness.endAttempt(harness.lastAttempt(rejected), Outcome.REJECTED);
        harness.submit(SchedulerHarness.BULK, 0);
        assertEquals(
                3,
                sentTo(harness, 0),
                "the rejected attempt, its retry, and the attempt of the next operation");
    }

    @Test
    void aTimeoutOfAShortAttemptDoesNotMakeAnEndpointUnresponsive() {
        SchedulerHarness harness = new SchedulerHarness(2);
        Operation shortDeadline = harness.submitWithDeadline(SchedulerHarness.BULK, 1, 0, 60);
        harness.advanceClock(60);
        harness.endAttempt(harness.lastAttempt(shortDeadline), Outcome.TIMED_OUT);
        harness.submit(SchedulerHarness.BULK, 0);
        harness.submit(SchedulerHarness.BULK, 0);
        assertEquals(3, sentTo(harness, 0), "none of them is a probation request");
    }

    @Test
    void theIndexOfAPrunedEndpointIsReused() {
        SchedulerHarness harness = new SchedulerHarness(2);
        Volume volume = harness.volume(1);
        for (int i = 0; i < 50; i++) {
            Node removed = harness.nodes.get(0);
            Operation read = harness.submit(SchedulerHarness.READ, volume, 7 + i, 2, 0);
            harness.advanceClock(20);
            harness.endAttempt(harness.lastAttempt(read), Outcome.SERVED);
            removed.phase = Node.Phase.REMOVED;
            harness.updateEndpointList();
            removed.pruned = true;
            Node added = new Node(1000 + i);
            added.cell = 0;
            harness.nodes.set(0, added);
            harness.updateEndpointList();
            // Waits until the added endpoint is past its slow start.
            harness.advanceClock(10_000);
        }
        assertEquals(2, harness.scheduler.endpoints.size());
        Operation read = harness.submit(SchedulerHarness.READ, volume, 3, 2, 0);
        assertEquals(harness.nodes.get(0), harness.lastAttempt(read).node);
    }

    @Test
    void anEndpointThatFailsImmediatelyGetsFewNewObjects() {
        SchedulerHarness harness = new SchedulerHarness(2);
        for (int i = 0; i < 40; i++) {
            Operation write = harness.submit(SchedulerHarness.WRITE, -1);
            harness.advanceClock(6);
            Attempt attempt = harness.lastAttempt(write);
            harness.endAttempt(
                    attempt,
                    attempt.node == harness.nodes.get(0) ? Outcome.FAILED : Outcome.SERVED);
            while (!write.ended) {
                harness.endAttempt(harness.lastAttempt(write), Outcome.SERVED);
            }
        }
        assertTrue(sentTo(harness, 0) < 12, "sent " + sentTo(harness, 0));
    }

    @Test
    void aSlowEndpointGetsALowerConcurrencyLimit() {
        SchedulerHarness harness = new SchedulerHarness(1);
        for (int i = 0; i < 40; i++) {
            Operation read = harness.submit(SchedulerHarness.READ, 0);
            harness.advanceClock(10);
            harness.endAttempt(harness.lastAttempt(read), Outcome.SERVED);
        }
        for (int i = 0; i < 10; i++) {
            Operation read = harness.submit(SchedulerHarness.READ, 0);
            harness.advanceClock(110);
            harness.endAttempt(harness.lastAttempt(read), Outcome.SERVED);
        }
        harness.sent.clear();
        for (int i = 0; i < 8; i++) {
            harness.submit(SchedulerHarness.BULK, 0);
        }
        assertTrue(harness.sent.size() <= 2, "sent " + harness.sent.size());
    }

    private static long sentTo(SchedulerHarness harness, int node) {
        return harness.sent.stream()
                .filter(attempt -> attempt.node == harness.nodes.get(node))
                .count();
    }
}
