package sagepulley.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** When discovery is polled for the endpoint list. */
class EndpointPollTest {
    @Test
    void theListIsPolledAtTheStartAndAfterAFailureWithBackoff() {
        SchedulerHarness harness = new SchedulerHarness(1, 1, 3, true, Double.NaN);
        assertEquals(0, harness.polls, "staggered by the gateway's number");
        harness.advanceClock(300);
        assertEquals(1, harness.polls);
        for (int i = 0; i < 5; i++) {
            harness.scheduler.onPollFailed(harness.now);
            harness.advanceClock(400);
        }
        int calls = harness.polls;
        assertTrue(calls <= 3, "asked " + calls);
        harness.advanceClock(9000);
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
        for (int seen = 0; harness.now < 160_000; harness.advanceClock(2)) {
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
        harness.advanceClock(10);
        for (int i = 0; i < 10; i++) {
            harness.scheduler.onPollFailed(harness.now);
        }
        int calls = harness.polls;
        harness.scheduler.onDiscoveryMoved(harness.now);
        harness.advanceClock(302);
        assertEquals(calls + 1, harness.polls);
    }

    /** The old address may still tell changes before the new one has been called. */
    @Test
    void aListFromTheFormerAddressDoesNotDelayThePollOfTheNewOne() {
        SchedulerHarness harness = new SchedulerHarness(1, 0, 100, true, Double.NaN, 6_000);
        harness.advanceClock(10);
        harness.scheduler.onListConfirmed(harness.now);
        int calls = harness.polls;
        harness.scheduler.onDiscoveryMoved(harness.now);
        harness.updateEndpointList();
        harness.advanceClock(302);
        assertEquals(calls + 1, harness.polls);
    }

    /**
     * Many start anew at once while nodes drain: 6 s after a change that could be had it counts as
     * told to all.
     */
    @Test
    void theLastOfManyGatewaysHasPolledBeforeAChangeCountsAsNotified() {
        SchedulerHarness harness = new SchedulerHarness(1, 199, 200, true, Double.NaN);
        harness.advanceClock(2_500);
        assertEquals(1, harness.polls);
        harness.updateEndpointList();
        harness.advanceClock(harness.deployment.pollInterval() - 2_600);
        assertEquals(1, harness.polls, "it was answered");
    }
}
