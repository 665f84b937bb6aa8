package sagepulley.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import sagepulley.model.Attempt;
import sagepulley.model.Node;
import sagepulley.model.Operation;
import sagepulley.model.Outcome;
import sagepulley.model.Volume;

/** Endpoints that do not answer, or answer slowly or with faults; cancellations and polls. */
class HealthTest {
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
    void earlyCancellationsShortenTheObjectiveAndCancelAttempts() {
        SchedulerHarness harness = new SchedulerHarness(1);
        for (int i = 0; i < 8; i++) {
            Operation operation = harness.take(SchedulerHarness.BULK, 0);
            harness.passTime(60);
            harness.cancel(operation);
            harness.end(harness.lastAttempt(operation), Outcome.CANCELLED);
        }
        assertEquals(8, harness.cancelled.size());
        harness.passTime(2000);
        harness.rejected.clear();
        harness.nodes.get(0).phase = Node.Phase.DRAINING;
        harness.updateEndpointList();
        harness.take(SchedulerHarness.BULK, 0);
        harness.passTime(70);
        assertEquals(1, harness.rejected.size(), "long before its target time of 1.5 s");
    }

    @Test
    void cancellationsBeforeAnyAnswerCouldComeAreIgnored() {
        SchedulerHarness harness = new SchedulerHarness(1);
        serve(harness, 30, 20);
        for (int i = 0; i < 10; i++) {
            Operation operation = harness.take(SchedulerHarness.READ, 0);
            harness.passTime(4);
            harness.cancel(operation);
            harness.end(harness.lastAttempt(operation), Outcome.CANCELLED);
        }
        harness.nodes.get(0).phase = Node.Phase.DRAINING;
        harness.updateEndpointList();
        harness.take(SchedulerHarness.READ, 0);
        harness.passTime(100);
        assertEquals(0, harness.rejected.size(), "the target time is still 250 ms");
    }

    @Test
    void pastCancellationsDoNotForbidAllAttemptsForEver() {
        SchedulerHarness harness = new SchedulerHarness(1);
        serve(harness, 30, 20);
        for (int i = 0; i < 10; i++) {
            Operation operation = harness.take(SchedulerHarness.READ, 0);
            harness.passTime(22);
            if (operation.ended) {
                continue;
            }
            harness.cancel(operation);
            harness.end(harness.lastAttempt(operation), Outcome.CANCELLED);
            // The node takes long for a while, so that no answer would come in the time that
            // clients stay.
            serve(harness, 2, 60);
        }
        int before = harness.sent.size();
        for (int i = 0; i < 200; i++) {
            Operation operation = harness.take(SchedulerHarness.READ, 0);
            harness.passTime(10);
            if (!operation.ended) {
                harness.end(harness.lastAttempt(operation), Outcome.SERVED);
            }
        }
        assertTrue(harness.sent.size() - before > 100, "sent " + (harness.sent.size() - before));
    }

    /** So many reads, one after the other, each answered after a time. */
    private static void serve(SchedulerHarness harness, int count, double time) {
        for (int i = 0; i < count; i++) {
            Operation operation = harness.take(SchedulerHarness.READ, 0);
            harness.passTime(time);
            if (!operation.ended) {
                harness.end(harness.lastAttempt(operation), Outcome.SERVED);
            }
        }
    }

    @Test
    void anOverloadOfOneEndpointForbidsNoRetryAtAnother() {
        SchedulerHarness harness = new SchedulerHarness(2);
        Volume surging = harness.volume(0);
        for (int i = 0; i < 40; i++) {
            harness.take(SchedulerHarness.READ, surging, 100 + i, 2, 0);
        }
        harness.passTime(260);
        assertTrue(harness.rejected.size() > 20, "declined at the one " + harness.rejected.size());
        Operation read = harness.take(SchedulerHarness.READ, 1);
        harness.passTime(10);
        harness.end(harness.lastAttempt(read), Outcome.FAILED);
        assertEquals(2, read.attempts.size(), "the other is idle");
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

    @Test
    void noRetryUnderOverloadButInAnOutage() {
        SchedulerHarness outage = new SchedulerHarness(3);
        outage.nodes.get(0).phase = Node.Phase.DRAINING;
        outage.updateEndpointList();
        SchedulerHarness overload = new SchedulerHarness(3);
        for (SchedulerHarness harness : new SchedulerHarness[] {outage, overload}) {
            for (int i = 0; i < 8; i++) {
                harness.take(SchedulerHarness.READ, 0);
            }
            if (harness == outage) {
                harness.passTime(252);
                assertEquals(8, harness.rejected.size());
            }
            Operation write = harness.take(SchedulerHarness.WRITE, -1);
            harness.end(harness.lastAttempt(write), Outcome.FAILED);
            assertEquals(harness == outage ? 2 : 1, write.attempts.size());
        }
    }

    @Test
    void theListIsPolledAtTheStartAndAfterAFailureWithBackoff() {
        SchedulerHarness harness = new SchedulerHarness(1, 1, 3, true, Double.NaN);
        assertEquals(0, harness.polls, "staggered by the gateway's number");
        harness.passTime(300);
        assertEquals(1, harness.polls);
        for (int i = 0; i < 5; i++) {
            harness.scheduler.onPollFailed(harness.now);
            harness.passTime(400);
        }
        int calls = harness.polls;
        assertTrue(calls <= 3, "asked " + calls);
        harness.passTime(9000);
        assertTrue(harness.polls > calls, "but it does ask again");
    }

    /**
     * However often it failed, discovery is polled again within less than the time after which a
     * change counts as notified, and not so often that it is overloaded (DiscoveryLoadTest). What
     * has not come by then, the lease covers.
     */
    @Test
    void theBackoffOfPollsIsBounded() {
        SchedulerHarness harness = new SchedulerHarness(1, 0, 100, true, Double.NaN);
        double lastCall = harness.now;
        double longest = 0;
        for (int seen = 0; harness.now < 160_000; harness.passTime(2)) {
            if (harness.polls > seen) {
                longest = Math.max(longest, harness.now - lastCall);
                lastCall = harness.now;
                seen = harness.polls;
                harness.scheduler.onPollFailed(harness.now);
            }
        }
        assertTrue(longest <= 4_600, "at most " + longest + " ms between two calls");
        assertTrue(harness.polls < 45, "in a minute " + harness.polls);
    }

    @Test
    void aMovedDiscoveryIsPolledAtOnceWhateverFailedBefore() {
        SchedulerHarness harness = new SchedulerHarness(1, 0, 100, true, Double.NaN);
        harness.passTime(10);
        for (int i = 0; i < 10; i++) {
            harness.scheduler.onPollFailed(harness.now);
        }
        int calls = harness.polls;
        harness.scheduler.onDiscoveryMoved(harness.now);
        harness.passTime(302);
        assertEquals(calls + 1, harness.polls);
    }

    /** The old address may still tell changes before the new one has been called. */
    @Test
    void aListFromTheFormerAddressDoesNotDelayThePollOfTheNewOne() {
        SchedulerHarness harness = new SchedulerHarness(1, 0, 100, true, Double.NaN, 6_000);
        harness.passTime(10);
        harness.scheduler.onListConfirmed(harness.now);
        int calls = harness.polls;
        harness.scheduler.onDiscoveryMoved(harness.now);
        harness.updateEndpointList();
        harness.passTime(302);
        assertEquals(calls + 1, harness.polls);
    }

    /**
     * Many start anew at once while nodes drain: 6 s after a change that could be had it counts as
     * told to all.
     */
    @Test
    void theLastOfManyGatewaysHasPolledBeforeAChangeCountsAsNotified() {
        SchedulerHarness harness = new SchedulerHarness(1, 199, 200, true, Double.NaN);
        harness.passTime(2_500);
        assertEquals(1, harness.polls);
        harness.updateEndpointList();
        harness.passTime(harness.deployment.pollInterval() - 2_600);
        assertEquals(1, harness.polls, "it was answered");
    }

    @Test
    void operationsAboveTheirShareWaitForAShorterQueueThanReservedOnes() {
        SchedulerHarness harness = new SchedulerHarness(1);
        for (int i = 0; i < 10; i++) {
            Operation read = harness.take(SchedulerHarness.READ, 0);
            harness.passTime(i < 4 ? 10 : 90);
            harness.end(harness.lastAttempt(read), Outcome.SERVED);
        }
        Volume surging = harness.volume(0);
        for (int i = 0; i < 8; i++) {
            harness.take(SchedulerHarness.READ, surging, 1000 + i, 6, 0);
        }
        harness.passTime(90);
        harness.serveAllInFlight();
        Operation over = harness.take(SchedulerHarness.READ, surging, 2000, 6, 0);
        Operation reserved = harness.take(SchedulerHarness.READ, 0);
        assertTrue(over.attempts.isEmpty());
        assertEquals(1, reserved.attempts.size());
        harness.end(harness.lastAttempt(reserved), Outcome.SERVED);
        harness.passTime(60_000);
        surging = harness.volume(0);
        for (int i = 0; i < 4; i++) {
            harness.take(SchedulerHarness.READ, surging, 3000 + i, 6, 0);
        }
        assertEquals(
                4,
                harness.sent.stream().filter(attempt -> attempt.outcome == null).count(),
                "the queue is forgotten");
    }

    @Test
    void anAttemptTimesOutAtTheObjectiveWhereLateAnswersHaveLittleValue() {
        SchedulerHarness harness = new SchedulerHarness(1);
        harness.passTime(40);
        Operation read = harness.take(SchedulerHarness.READ, 0);
        assertEquals(250, harness.timeoutOf(read), 1e-6);
    }

    @Test
    void aLateOperationGetsNoRetry() {
        SchedulerHarness harness = new SchedulerHarness(1);
        Operation read = harness.take(SchedulerHarness.READ, 0);
        harness.passTime(250);
        harness.end(harness.lastAttempt(read), Outcome.FAILED);
        assertEquals(1, read.attempts.size());
        assertEquals(List.of(read), harness.rejected, "at once, not near its patience");
    }

    @Test
    void anEarlyDeadlineAloneMakesNoClientRetry() {
        SchedulerHarness harness = new SchedulerHarness(1);
        Operation first = harness.take(SchedulerHarness.READ, 0);
        harness.passTime(250);
        harness.end(harness.lastAttempt(first), Outcome.TIMED_OUT);
        harness.passTime(15_000);
        Operation hurried =
                harness.takeWithDeadline(SchedulerHarness.READ, first.extent + 1_000, 0, 100);
        assertEquals(98, harness.timeoutOf(hurried), 2, "all the patience it has");
        harness.end(harness.lastAttempt(hurried), Outcome.SERVED);
        harness.nodes.get(0).phase = Node.Phase.DRAINING;
        harness.updateEndpointList();
        Operation repeat = harness.takeWithDeadline(SchedulerHarness.READ, first.extent, 0, 1700);
        assertTrue(harness.rejected.contains(repeat), "its first try's target time is over");
    }

    @Test
    void retryAfterFollowsTheQueueAndIsMaximalForAnUnresponsiveEndpoint() {
        SchedulerHarness harness = new SchedulerHarness(1);
        for (int i = 0; i < 4; i++) {
            harness.take(SchedulerHarness.BULK, 0);
        }
        harness.passTime(100);
        harness.serveAllInFlight();
        for (int i = 0; i < 40; i++) {
            harness.take(SchedulerHarness.READ, harness.volume(0), 5000 + i, 6, 0);
        }
        harness.passTime(120);
        harness.serveAllInFlight();
        harness.passTime(140);
        assertTrue(
                harness.retryAfter > 0 && harness.retryAfter < 500, "told " + harness.retryAfter);
        harness.nodes.get(0).phase = Node.Phase.DRAINING;
        harness.updateEndpointList();
        harness.take(SchedulerHarness.READ, 0);
        harness.passTime(252);
        assertEquals(harness.deployment.maxRetryAfter(), harness.retryAfter);
    }

    private static long sentTo(SchedulerHarness harness, int node) {
        return harness.sent.stream()
                .filter(attempt -> attempt.node == harness.nodes.get(node))
                .count();
    }
}
