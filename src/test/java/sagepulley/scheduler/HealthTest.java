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

/** Nodes that take work and do not answer, or answer slowly. */
class HealthTest {
    @Test
    void aSilentNodeGetsOneTrialAtATimeAndNoNewObjects() {
        SchedulerHarness host = new SchedulerHarness(2);
        host.take(SchedulerHarness.BULK, 0);
        host.passTime(200);
        for (int i = 0; i < 6; i++) {
            host.take(SchedulerHarness.BULK, 0);
            host.take(SchedulerHarness.WRITE, -1);
            host.end(host.lastAttempt(host.held.get(host.held.size() - 1)), Outcome.SERVED);
        }
        assertEquals(2, sentTo(host, 0), "the hop that found it silent, and one trial");
        host.passTime(70);
        assertEquals(2, sentTo(host, 0), "the next waits for a part of the shortest target time");
        host.passTime(10);
        assertEquals(3, sentTo(host, 0), "one more trial");
        for (int i = 0; i < host.sent.size(); i++) {
            if (host.sent.get(i).outcome == null) {
                host.end(host.sent.get(i), Outcome.SERVED);
            }
        }
        host.passTime(6000);
        long before = sentTo(host, 0);
        host.take(SchedulerHarness.READ, 0);
        host.take(SchedulerHarness.READ, 0);
        assertEquals(before + 2, sentTo(host, 0), "an answer restores trust");
    }

    @Test
    void aFullAnswerRestoresNoTrust() {
        SchedulerHarness host = new SchedulerHarness(2);
        Operation lost = host.take(SchedulerHarness.BULK, 0);
        host.passTime(500);
        host.end(host.lastAttempt(lost), Outcome.TIMED_OUT);
        assertEquals(2, sentTo(host, 0), "it is the trial itself");
        host.end(host.lastAttempt(lost), Outcome.REJECTED);
        host.take(SchedulerHarness.BULK, 0);
        assertEquals(2, sentTo(host, 0), "the next trial waits for its time");
    }

    @Test
    void aFullAnswerMakesNoNodeSilent() {
        SchedulerHarness host = new SchedulerHarness(2);
        Operation refused = host.take(SchedulerHarness.BULK, 0);
        host.end(host.lastAttempt(refused), Outcome.REJECTED);
        host.take(SchedulerHarness.BULK, 0);
        assertEquals(
                3, sentTo(host, 0), "the hop refused, the one after it, and the next operation's");
    }

    @Test
    void anAttemptThatHadLittleTimeLeftMakesNoNodeSilent() {
        SchedulerHarness host = new SchedulerHarness(2);
        Operation hurried = host.takeHurried(SchedulerHarness.BULK, 1, 0, 60);
        host.passTime(60);
        host.end(host.lastAttempt(hurried), Outcome.TIMED_OUT);
        host.take(SchedulerHarness.BULK, 0);
        host.take(SchedulerHarness.BULK, 0);
        assertEquals(3, sentTo(host, 0), "none of them is a trial");
    }

    @Test
    void clientsThatLeaveEarlySetAShorterTargetAndTheirWorkIsCalledOff() {
        SchedulerHarness host = new SchedulerHarness(1);
        for (int i = 0; i < 8; i++) {
            Operation operation = host.take(SchedulerHarness.BULK, 0);
            host.passTime(60);
            host.leave(operation);
            host.end(host.lastAttempt(operation), Outcome.CANCELLED);
        }
        assertEquals(8, host.calledOff.size());
        host.passTime(2000);
        host.declined.clear();
        host.nodes.get(0).phase = Node.Phase.DRAINING;
        host.relist();
        host.take(SchedulerHarness.BULK, 0);
        host.passTime(70);
        assertEquals(1, host.declined.size(), "long before its target time of 1.5 s");
    }

    @Test
    void clientsThatLeaveBeforeAnyAnswerCouldComeTellNothing() {
        SchedulerHarness host = new SchedulerHarness(1);
        serve(host, 30, 20);
        for (int i = 0; i < 10; i++) {
            Operation operation = host.take(SchedulerHarness.READ, 0);
            host.passTime(4);
            host.leave(operation);
            host.end(host.lastAttempt(operation), Outcome.CANCELLED);
        }
        host.nodes.get(0).phase = Node.Phase.DRAINING;
        host.relist();
        host.take(SchedulerHarness.READ, 0);
        host.passTime(100);
        assertEquals(0, host.declined.size(), "the target time is still 250 ms");
    }

    @Test
    void clientsThatLeftOnceDoNotForbidAllAttemptsForGood() {
        SchedulerHarness host = new SchedulerHarness(1);
        serve(host, 30, 20);
        for (int i = 0; i < 10; i++) {
            Operation operation = host.take(SchedulerHarness.READ, 0);
            host.passTime(22);
            if (operation.ended) {
                continue;
            }
            host.leave(operation);
            host.end(host.lastAttempt(operation), Outcome.CANCELLED);
            // The node takes long for a while, so that no answer would come in the time that
            // clients stay.
            serve(host, 2, 60);
        }
        int before = host.sent.size();
        for (int i = 0; i < 200; i++) {
            Operation operation = host.take(SchedulerHarness.READ, 0);
            host.passTime(10);
            if (!operation.ended) {
                host.end(host.lastAttempt(operation), Outcome.SERVED);
            }
        }
        assertTrue(host.sent.size() - before > 100, "sent " + (host.sent.size() - before));
    }

    /** So many reads, one after the other, each answered after a time. */
    private static void serve(SchedulerHarness host, int count, double time) {
        for (int i = 0; i < count; i++) {
            Operation operation = host.take(SchedulerHarness.READ, 0);
            host.passTime(time);
            if (!operation.ended) {
                host.end(host.lastAttempt(operation), Outcome.SERVED);
            }
        }
    }

    @Test
    void aSurgeAtOneNodeForbidsNoFurtherAttemptAtAnother() {
        SchedulerHarness host = new SchedulerHarness(2);
        Volume surging = host.volume(0);
        for (int i = 0; i < 40; i++) {
            host.take(SchedulerHarness.READ, surging, 100 + i, 2, 0);
        }
        host.passTime(260);
        assertTrue(host.declined.size() > 20, "declined at the one " + host.declined.size());
        Operation read = host.take(SchedulerHarness.READ, 1);
        host.passTime(10);
        host.end(host.lastAttempt(read), Outcome.FAILED);
        assertEquals(2, read.attempts.size(), "the other is idle");
    }

    @Test
    void aNodeThatIsForgottenLeavesItsPlaceToAnother() {
        SchedulerHarness host = new SchedulerHarness(2);
        Volume volume = host.volume(1);
        for (int i = 0; i < 50; i++) {
            Node old = host.nodes.get(0);
            Operation read = host.take(SchedulerHarness.READ, volume, 7 + i, 2, 0);
            host.passTime(20);
            host.end(host.lastAttempt(read), Outcome.SERVED);
            old.phase = Node.Phase.REMOVED;
            host.relist();
            old.forgotten = true;
            Node fresh = new Node(1000 + i);
            fresh.cell = 0;
            host.nodes.set(0, fresh);
            host.relist();
            // Cold at first: it is served once it is warm.
            host.passTime(10_000);
        }
        assertEquals(2, host.control.endpoints.size());
        Operation read = host.take(SchedulerHarness.READ, volume, 3, 2, 0);
        assertEquals(host.nodes.get(0), host.lastAttempt(read).node);
    }

    @Test
    void aNodeThatFailsAtOnceDrawsNoNewObjects() {
        SchedulerHarness host = new SchedulerHarness(2);
        for (int i = 0; i < 40; i++) {
            Operation write = host.take(SchedulerHarness.WRITE, -1);
            host.passTime(6);
            Attempt attempt = host.lastAttempt(write);
            host.end(attempt, attempt.node == host.nodes.get(0) ? Outcome.FAILED : Outcome.SERVED);
            while (!write.ended) {
                host.end(host.lastAttempt(write), Outcome.SERVED);
            }
        }
        assertTrue(sentTo(host, 0) < 12, "sent " + sentTo(host, 0));
    }

    @Test
    void aSlowNodeGetsFewerOperationsAtATime() {
        SchedulerHarness host = new SchedulerHarness(1);
        for (int i = 0; i < 40; i++) {
            Operation read = host.take(SchedulerHarness.READ, 0);
            host.passTime(10);
            host.end(host.lastAttempt(read), Outcome.SERVED);
        }
        for (int i = 0; i < 10; i++) {
            Operation read = host.take(SchedulerHarness.READ, 0);
            host.passTime(110);
            host.end(host.lastAttempt(read), Outcome.SERVED);
        }
        host.sent.clear();
        for (int i = 0; i < 8; i++) {
            host.take(SchedulerHarness.BULK, 0);
        }
        assertTrue(host.sent.size() <= 2, "sent " + host.sent.size());
    }

    @Test
    void noFurtherAttemptUnderOverloadButInAnOutage() {
        SchedulerHarness outage = new SchedulerHarness(3);
        outage.nodes.get(0).phase = Node.Phase.DRAINING;
        outage.relist();
        SchedulerHarness overload = new SchedulerHarness(3);
        for (SchedulerHarness host : new SchedulerHarness[] {outage, overload}) {
            for (int i = 0; i < 8; i++) {
                host.take(SchedulerHarness.READ, 0);
            }
            if (host == outage) {
                host.passTime(252);
                assertEquals(8, host.declined.size());
            }
            Operation write = host.take(SchedulerHarness.WRITE, -1);
            host.end(host.lastAttempt(write), Outcome.FAILED);
            assertEquals(host == outage ? 2 : 1, write.attempts.size());
        }
    }

    @Test
    void theListIsAskedForAtTheStartAndAnewAfterAFailureWithoutFlooding() {
        SchedulerHarness host = new SchedulerHarness(1, 1, 3, true, Double.NaN);
        assertEquals(0, host.listCalls, "staggered by the gateway's number");
        host.passTime(300);
        assertEquals(1, host.listCalls);
        for (int i = 0; i < 5; i++) {
            host.control.onPollFailed(host.now);
            host.passTime(400);
        }
        int calls = host.listCalls;
        assertTrue(calls <= 3, "asked " + calls);
        host.passTime(9000);
        assertTrue(host.listCalls > calls, "but it does ask again");
    }

    /**
     * However often it failed, discovery is asked again within less than the time after which what
     * it has counts as told, and not so often that a crowd of callers never ends
     * (DiscoveryCrowdTest). What has not come by then, the lease covers.
     */
    @Test
    void howeverLongTheListCannotBeHadItIsAskedForSoonAgain() {
        SchedulerHarness host = new SchedulerHarness(1, 0, 100, true, Double.NaN);
        double lastCall = host.now;
        double longest = 0;
        for (int seen = 0; host.now < 160_000; host.passTime(2)) {
            if (host.listCalls > seen) {
                longest = Math.max(longest, host.now - lastCall);
                lastCall = host.now;
                seen = host.listCalls;
                host.control.onPollFailed(host.now);
            }
        }
        assertTrue(longest <= 4_600, "at most " + longest + " ms between two calls");
        assertTrue(host.listCalls < 45, "in a minute " + host.listCalls);
    }

    @Test
    void aListThatMovedIsAskedForAtOnceWhateverFailedBefore() {
        SchedulerHarness host = new SchedulerHarness(1, 0, 100, true, Double.NaN);
        host.passTime(10);
        for (int i = 0; i < 10; i++) {
            host.control.onPollFailed(host.now);
        }
        int calls = host.listCalls;
        host.control.onDiscoveryMoved(host.now);
        host.passTime(302);
        assertEquals(calls + 1, host.listCalls);
    }

    /** The old address may still tell changes before the new one has been called. */
    @Test
    void aListFromTheFormerAddressDoesNotPutOffTheCallAtTheNewOne() {
        SchedulerHarness host = new SchedulerHarness(1, 0, 100, true, Double.NaN, 6_000);
        host.passTime(10);
        host.control.onListConfirmed(host.now);
        int calls = host.listCalls;
        host.control.onDiscoveryMoved(host.now);
        host.relist();
        host.passTime(302);
        assertEquals(calls + 1, host.listCalls);
    }

    /**
     * Many start anew at once while nodes drain: 6 s after a change that could be had it counts as
     * told to all.
     */
    @Test
    void theLastOfManyGatewaysHasAskedForTheListBeforeItCountsAsTold() {
        SchedulerHarness host = new SchedulerHarness(1, 199, 200, true, Double.NaN);
        host.passTime(2_500);
        assertEquals(1, host.listCalls);
        host.relist();
        host.passTime(host.site.pollInterval() - 2_600);
        assertEquals(1, host.listCalls, "it was answered");
    }

    @Test
    void whatIsOverItsLevelWaitsForAShorterQueueThanTheReserve() {
        SchedulerHarness host = new SchedulerHarness(1);
        for (int i = 0; i < 10; i++) {
            Operation read = host.take(SchedulerHarness.READ, 0);
            host.passTime(i < 4 ? 10 : 90);
            host.end(host.lastAttempt(read), Outcome.SERVED);
        }
        Volume surging = host.volume(0);
        for (int i = 0; i < 8; i++) {
            host.take(SchedulerHarness.READ, surging, 1000 + i, 6, 0);
        }
        host.passTime(90);
        host.satisfyAllOut();
        Operation over = host.take(SchedulerHarness.READ, surging, 2000, 6, 0);
        Operation reserved = host.take(SchedulerHarness.READ, 0);
        assertTrue(over.attempts.isEmpty());
        assertEquals(1, reserved.attempts.size());
        host.end(host.lastAttempt(reserved), Outcome.SERVED);
        host.passTime(60_000);
        surging = host.volume(0);
        for (int i = 0; i < 4; i++) {
            host.take(SchedulerHarness.READ, surging, 3000 + i, 6, 0);
        }
        assertEquals(
                4,
                host.sent.stream().filter(attempt -> attempt.outcome == null).count(),
                "the queue is forgotten");
    }

    @Test
    void anAttemptEndsWithTheTargetTimeWhereLateAnswersAreWorthLittle() {
        SchedulerHarness host = new SchedulerHarness(1);
        host.passTime(40);
        Operation read = host.take(SchedulerHarness.READ, 0);
        assertEquals(250, host.timeoutOf(read), 1e-6);
    }

    @Test
    void whatIsLateGetsNoFurtherAttempt() {
        SchedulerHarness host = new SchedulerHarness(1);
        Operation read = host.take(SchedulerHarness.READ, 0);
        host.passTime(250);
        host.end(host.lastAttempt(read), Outcome.FAILED);
        assertEquals(1, read.attempts.size());
        assertEquals(List.of(read), host.declined, "at once, not near its patience");
    }

    @Test
    void hurriedClientsAreNotTakenForRepeatsOfLateOperations() {
        SchedulerHarness host = new SchedulerHarness(1);
        Operation first = host.take(SchedulerHarness.READ, 0);
        host.passTime(250);
        host.end(host.lastAttempt(first), Outcome.TIMED_OUT);
        host.passTime(15_000);
        Operation hurried = host.takeHurried(SchedulerHarness.READ, first.extent + 1_000, 0, 100);
        assertEquals(98, host.timeoutOf(hurried), 2, "all the patience it has");
        host.end(host.lastAttempt(hurried), Outcome.SERVED);
        host.nodes.get(0).phase = Node.Phase.DRAINING;
        host.relist();
        Operation repeat = host.takeHurried(SchedulerHarness.READ, first.extent, 0, 1700);
        assertTrue(host.declined.contains(repeat), "its first try's target time is over");
    }

    @Test
    void aDeclineTellsAShortWaitForAQueueAndTheLongestWhereTheNodeDoesNotServe() {
        SchedulerHarness host = new SchedulerHarness(1);
        for (int i = 0; i < 4; i++) {
            host.take(SchedulerHarness.BULK, 0);
        }
        host.passTime(100);
        host.satisfyAllOut();
        for (int i = 0; i < 40; i++) {
            host.take(SchedulerHarness.READ, host.volume(0), 5000 + i, 6, 0);
        }
        host.passTime(120);
        host.satisfyAllOut();
        host.passTime(140);
        assertTrue(host.advice > 0 && host.advice < 500, "told " + host.advice);
        host.nodes.get(0).phase = Node.Phase.DRAINING;
        host.relist();
        host.take(SchedulerHarness.READ, 0);
        host.passTime(252);
        assertEquals(host.site.maxRetryAfter(), host.advice);
    }

    private static long sentTo(SchedulerHarness host, int node) {
        return host.sent.stream().filter(attempt -> attempt.node == host.nodes.get(node)).count();
    }
}
