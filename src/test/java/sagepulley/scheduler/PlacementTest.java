package sagepulley.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import sagepulley.model.Attempt;
import sagepulley.model.Node;
import sagepulley.model.Operation;
import sagepulley.model.Outcome;
import sagepulley.model.Volume;

/**
 * Tests placement scores, the concurrency limit, runs on one extent, and the order of waiting
 * operations.
 */
class PlacementTest {
    @Test
    void concurrencyLimitStartsAtFourAndTheRestOfARunMayExceedIt() {
        SchedulerHarness harness = new SchedulerHarness(1);
        for (int i = 0; i < 4; i++) {
            harness.submit(SchedulerHarness.READ, 0);
        }
        Volume volume = harness.volume(1);
        Operation earliest = harness.submit(SchedulerHarness.READ, 0);
        harness.advanceClock(4);
        Operation run1 = harness.submit(SchedulerHarness.READ, volume, 5, 1, 0);
        Operation run2 = harness.submit(SchedulerHarness.READ, volume, 5, 1, 0);
        assertEquals(4, harness.sent.size());
        harness.endAttempt(harness.sent.get(0), Outcome.SERVED);
        assertEquals(1, earliest.attempts.size(), "the earliest deadline goes first");
        harness.endAttempt(harness.sent.get(1), Outcome.SERVED);
        assertEquals(1, run1.attempts.size());
        assertEquals(1, run2.attempts.size(), "the rest of the run may exceed the limit");
    }

    @Test
    void newObjectsAvoidAnEndpointWithAHighLatencyRatio() {
        SchedulerHarness harness = new SchedulerHarness(2);
        for (int i = 0; i < 60; i++) {
            Operation read = harness.submit(SchedulerHarness.READ, i % 2);
            harness.advanceClock(10);
            Attempt slow = i % 2 == 0 ? harness.lastAttempt(read) : null;
            if (slow == null) {
                harness.endAttempt(harness.lastAttempt(read), Outcome.SERVED);
            } else {
                harness.advanceClock(50);
                harness.endAttempt(slow, Outcome.SERVED);
            }
        }
        harness.sent.clear();
        for (int i = 0; i < 10; i++) {
            Operation write = harness.submit(SchedulerHarness.WRITE, -1);
            harness.advanceClock(10);
            harness.endAttempt(harness.lastAttempt(write), Outcome.SERVED);
        }
        Node fast = harness.nodes.get(1);
        assertTrue(harness.sent.stream().filter(attempt -> attempt.node == fast).count() >= 7);
    }

    @Test
    void newObjectsAvoidAnEndpointInSlowStart() {
        SchedulerHarness harness = new SchedulerHarness(2);
        harness.advanceClock(3000);
        harness.nodes.add(harness.node(2));
        harness.updateEndpointList();
        for (int i = 0; i < 8; i++) {
            harness.submit(SchedulerHarness.WRITE, -1);
        }
        assertEquals(8, harness.sent.size());
        assertTrue(
                harness.sent.stream().noneMatch(attempt -> attempt.node == harness.nodes.get(2)));
    }

    @Test
    void reservedOperationGoesBeforeAnEarlierDeadline() {
        SchedulerHarness harness = new SchedulerHarness(1);
        Volume surging = harness.volume(0);
        for (int i = 0; i < 8; i++) {
            harness.submit(SchedulerHarness.READ, surging, 1000 + i, 2, 0);
        }
        harness.advanceClock(10);
        Operation reserved = harness.submit(SchedulerHarness.READ, 0);
        assertTrue(reserved.attempts.isEmpty());
        harness.endAttempt(harness.sent.get(0), Outcome.SERVED);
        assertEquals(1, reserved.attempts.size());
    }

    @Test
    void usageThroughOtherGatewaysConsumesTheReservation() {
        SchedulerHarness harness = new SchedulerHarness(1);
        Volume sharedVolume = harness.volume(1);
        Operation reported = harness.submit(SchedulerHarness.READ, sharedVolume, 1, 1, 0);
        harness.lastAttempt(reported).otherGatewaysUnits = 40;
        harness.endAttempt(harness.lastAttempt(reported), Outcome.SERVED);
        for (int i = 0; i < 4; i++) {
            harness.submit(SchedulerHarness.READ, 0);
        }
        Operation beyondReservation = harness.submit(SchedulerHarness.READ, sharedVolume, 2, 2, 0);
        harness.advanceClock(4);
        Operation withinReservation = harness.submit(SchedulerHarness.READ, 0);
        harness.endAttempt(harness.sent.get(1), Outcome.SERVED);
        assertTrue(beyondReservation.attempts.isEmpty());
        assertEquals(1, withinReservation.attempts.size());
    }

    @Test
    void lateOperationIsRejectedBeforeItsDeadlineWhenOthersTakeTheCapacity() {
        SchedulerHarness harness = new SchedulerHarness(1);
        for (int i = 0; i < 4; i++) {
            harness.submit(SchedulerHarness.BULK, 0);
        }
        Operation read = harness.submit(SchedulerHarness.READ, harness.volume(0), 1, 2, 0);
        // The node keeps responding, so the read does not wait for a probation request.
        for (int i = 0; i < 4; i++) {
            harness.advanceClock(50);
            harness.submit(SchedulerHarness.READ, 0);
            harness.endAttempt(harness.sent.get(i), Outcome.SERVED);
        }
        assertTrue(read.attempts.isEmpty() && !read.ended);
        harness.advanceClock(52);
        assertTrue(read.ended, "its objective is missed, its deadline is not reached");
        assertEquals(1, harness.rejected.size());
    }
}
