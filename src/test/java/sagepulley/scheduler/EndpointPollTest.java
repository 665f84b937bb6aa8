package sagepulley.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the schedule of endpoint list polls. */
class EndpointPollTest {
    @Test
    void listIsPolledAtStartAndAfterFailuresWithBackoff() {
        SchedulerHarness harness = new SchedulerHarness(1, 1, 3, true, Double.NaN);
        assertEquals(0, harness.polls, "the first poll is staggered by gateway index");
        harness.advanceClock(300);
        assertEquals(1, harness.polls);
        for (int i = 0; i < 5; i++) {
            harness.scheduler.onPollFailed(harness.now);
            harness.advanceClock(400);
        }
        int pollsBefore = harness.polls;
        assertTrue(pollsBefore <= 3, "polls with backoff: " + pollsBefore);
        harness.advanceClock(9000);
        assertTrue(harness.polls > pollsBefore, "polls again after the backoff");
    }

    /**
     * Guards against a backoff longer than the time after which a change counts as notified, and
     * against polls that overload discovery (see DiscoveryLoadTest).
     */
    @Test
    void pollBackoffIsBounded() {
        SchedulerHarness harness = new SchedulerHarness(1, 0, 100, true, Double.NaN);
        double lastPollAt = harness.now;
        double longestGap = 0;
        for (int pollsSeen = 0; harness.now < 160_000; harness.advanceClock(2)) {
            if (harness.polls > pollsSeen) {
                longestGap = Math.max(longestGap, harness.now - lastPollAt);
                lastPollAt = harness.now;
                pollsSeen = harness.polls;
                harness.scheduler.onPollFailed(harness.now);
            }
        }
        assertTrue(longestGap <= 4_600, "longest gap between polls: " + longestGap + " ms");
        assertTrue(harness.polls < 45, "polls in a minute: " + harness.polls);
    }

    @Test
    void newDiscoveryAddressIsPolledWithoutTheBackoffOfTheOldOne() {
        SchedulerHarness harness = new SchedulerHarness(1, 0, 100, true, Double.NaN);
        harness.advanceClock(10);
        for (int i = 0; i < 10; i++) {
            harness.scheduler.onPollFailed(harness.now);
        }
        int pollsBefore = harness.polls;
        harness.scheduler.onDiscoveryMoved(harness.now);
        harness.advanceClock(302);
        assertEquals(pollsBefore + 1, harness.polls);
    }

    /** The former address may still send lists before the new one is polled. */
    @Test
    void listFromTheFormerAddressDoesNotDelayThePollOfTheNewOne() {
        SchedulerHarness harness = new SchedulerHarness(1, 0, 100, true, Double.NaN, 6_000);
        harness.advanceClock(10);
        harness.scheduler.onListConfirmed(harness.now);
        int pollsBefore = harness.polls;
        harness.scheduler.onDiscoveryMoved(harness.now);
        harness.updateEndpointList();
        harness.advanceClock(302);
        assertEquals(pollsBefore + 1, harness.polls);
    }

    /** Guards against a stagger of the first polls that lasts longer than the notification span. */
    @Test
    void lastOfManyGatewaysPollsBeforeAChangeCountsAsNotified() {
        SchedulerHarness harness = new SchedulerHarness(1, 199, 200, true, Double.NaN);
        harness.advanceClock(2_500);
        assertEquals(1, harness.polls);
        harness.updateEndpointList();
        harness.advanceClock(harness.deployment.pollInterval() - 2_600);
        assertEquals(1, harness.polls, "no poll after an answered one");
    }
}
