package sagepulley.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import sagepulley.model.Attempt;
import sagepulley.model.Node;
import sagepulley.model.Operation;
import sagepulley.model.Outcome;
import sagepulley.model.Volume;

/** Endpoints that do not answer, reject, fail or are slow. */
class OutlierDetectorTest {
    @Test
    void anUnresponsiveEndpointGetsOneProbationRequestAtATimeAndNoNewObjects() {
        SchedulerHarness harness = new SchedulerHarness(2);
        harness.take(SchedulerHarness.BULK, 0);
        harness.passTime(200);
        for (int i = 0; i < 6; i++) {
            harness.take(SchedulerHarness.BULK, 0);
            harness.take(SchedulerHarness.WRITE, -1);
            harness.end(
                    harness.lastAttempt(harness.taken.get(harness.taken.size() - 1)),
                    Outcome.SERVED);
        }
        assertEquals(2, sentTo(harness, 0), "the hop that found it silent, and one trial");
        harness.passTime(70);
        assertEquals(
                2, sentTo(harness, 0), "the next waits for a part of the shortest target time");
        harness.passTime(10);
        assertEquals(3, sentTo(harness, 0), "one more trial");
        for (int i = 0; i < harness.sent.size(); i++) {
            if (harness.sent.get(i).outcome == null) {
                harness.end(harness.sent.get(i), Outcome.SERVED);
            }
        }
        harness.passTime(6000);
        long before = sentTo(harness, 0);
        harness.take(SchedulerHarness.READ, 0);
        harness.take(SchedulerHarness.READ, 0);
        assertEquals(before + 2, sentTo(harness, 0), "an answer restores trust");
    }

    @Test
    void aRejectionEndsNoEjection() {
        SchedulerHarness harness = new SchedulerHarness(2);
        Operation lost = harness.take(SchedulerHarness.BULK, 0);
        harness.passTime(500);
        harness.end(harness.lastAttempt(lost), Outcome.TIMED_OUT);
        assertEquals(2, sentTo(harness, 0), "it is the trial itself");
        harness.end(harness.lastAttempt(lost), Outcome.REJECTED);
        harness.take(SchedulerHarness.BULK, 0);
        assertEquals(2, sentTo(harness, 0), "the next trial waits for its time");
    }

    @Test
    void aRejectionMakesNoEndpointUnresponsive() {
        SchedulerHarness harness = new SchedulerHarness(2);
        Operation refused = harness.take(SchedulerHarness.BULK, 0);
        harness.end(harness.lastAttempt(refused), Outcome.REJECTED);
        harness.take(SchedulerHarness.BULK, 0);
        assertEquals(
                3,
                sentTo(harness, 0),
                "the hop refused, the one after it, and the next operation's");
    }

    @Test
    void anAttemptWithAShortTimeoutMakesNoEndpointUnresponsive() {
        SchedulerHarness harness = new SchedulerHarness(2);
        Operation hurried = harness.takeWithDeadline(SchedulerHarness.BULK, 1, 0, 60);
        harness.passTime(60);
        harness.end(harness.lastAttempt(hurried), Outcome.TIMED_OUT);
        harness.take(SchedulerHarness.BULK, 0);
        harness.take(SchedulerHarness.BULK, 0);
        assertEquals(3, sentTo(harness, 0), "none of them is a trial");
    }

    @Test
    void theIndexOfAForgottenEndpointIsUsedAgain() {
        SchedulerHarness harness = new SchedulerHarness(2);
        Volume volume = harness.volume(1);
        for (int i = 0; i < 50; i++) {
            Node old = harness.nodes.get(0);
            Operation read = harness.take(SchedulerHarness.READ, volume, 7 + i, 2, 0);
            harness.passTime(20);
            harness.end(harness.lastAttempt(read), Outcome.SERVED);
            old.phase = Node.Phase.REMOVED;
            harness.updateEndpointList();
            old.forgotten = true;
            Node fresh = new Node(1000 + i);
            fresh.cell = 0;
            harness.nodes.set(0, fresh);
            harness.updateEndpointList();
            // Cold at first: it is served once it is warm.
            harness.passTime(10_000);
        }
        assertEquals(2, harness.scheduler.endpoints.size());
        Operation read = harness.take(SchedulerHarness.READ, volume, 3, 2, 0);
        assertEquals(harness.nodes.get(0), harness.lastAttempt(read).node);
    }

    @Test
    void anEndpointThatFailsAtOnceDrawsNoNewObjects() {
        SchedulerHarness harness = new SchedulerHarness(2);
        for (int i = 0; i < 40; i++) {
            Operation write = harness.take(SchedulerHarness.WRITE, -1);
            harness.passTime(6);
            Attempt attempt = harness.lastAttempt(write);
            harness.end(
                    attempt,
                    attempt.node == harness.nodes.get(0) ? Outcome.FAILED : Outcome.SERVED);
            while (!write.ended) {
                harness.end(harness.lastAttempt(write), Outcome.SERVED);
            }
        }
        assertTrue(sentTo(harness, 0) < 12, "sent " + sentTo(harness, 0));
    }

    @Test
    void aSlowEndpointGetsALowerConcurrencyLimit() {
        SchedulerHarness harness = new SchedulerHarness(1);
        for (int i = 0; i < 40; i++) {
            Operation read = harness.take(SchedulerHarness.READ, 0);
            harness.passTime(10);
            harness.end(harness.lastAttempt(read), Outcome.SERVED);
        }
        for (int i = 0; i < 10; i++) {
            Operation read = harness.take(SchedulerHarness.READ, 0);
            harness.passTime(110);
            harness.end(harness.lastAttempt(read), Outcome.SERVED);
        }
        harness.sent.clear();
        for (int i = 0; i < 8; i++) {
            harness.take(SchedulerHarness.BULK, 0);
        }
        assertTrue(harness.sent.size() <= 2, "sent " + harness.sent.size());
    }

    private static long sentTo(SchedulerHarness harness, int node) {
        return harness.sent.stream()
                .filter(attempt -> attempt.node == harness.nodes.get(node))
                .count();
    }
}
