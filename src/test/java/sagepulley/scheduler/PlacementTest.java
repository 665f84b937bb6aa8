package sagepulley.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import sagepulley.model.Attempt;
import sagepulley.model.Node;
import sagepulley.model.Operation;
import sagepulley.model.Outcome;
import sagepulley.model.Volume;

/** The page's path: the score, the bound, the run of an extent, the earliest deadline. */
class PlacementTest {
    @Test
    void theBoundStartsAtFourAndARunGoesTogetherBeforeTheEarliestDeadline() {
        SchedulerHarness host = new SchedulerHarness(1);
        for (int i = 0; i < 4; i++) {
            host.take(SchedulerHarness.READ, 0);
        }
        Volume volume = host.volume(1);
        Operation early = host.take(SchedulerHarness.READ, 0);
        host.passTime(4);
        Operation run1 = host.take(SchedulerHarness.READ, volume, 5, 1, 0);
        Operation run2 = host.take(SchedulerHarness.READ, volume, 5, 1, 0);
        assertEquals(4, host.sent.size());
        host.end(host.sent.get(0), Outcome.SERVED);
        assertEquals(1, early.attempts.size(), "the earliest deadline");
        host.end(host.sent.get(1), Outcome.SERVED);
        assertEquals(1, run1.attempts.size());
        assertEquals(
                1, run2.attempts.size(), "the rest of the run goes along, a few over the bound");
    }

    @Test
    void newObjectsLeaveABusyNode() {
        SchedulerHarness host = new SchedulerHarness(2);
        for (int i = 0; i < 60; i++) {
            Operation read = host.take(SchedulerHarness.READ, i % 2);
            host.passTime(10);
            Attempt slow = i % 2 == 0 ? host.lastAttempt(read) : null;
            if (slow == null) {
                host.end(host.lastAttempt(read), Outcome.SERVED);
            } else {
                host.passTime(50);
                host.end(slow, Outcome.SERVED);
            }
        }
        host.sent.clear();
        for (int i = 0; i < 10; i++) {
            Operation write = host.take(SchedulerHarness.WRITE, -1);
            host.passTime(10);
            host.end(host.lastAttempt(write), Outcome.SERVED);
        }
        Node quick = host.nodes.get(1);
        assertTrue(host.sent.stream().filter(attempt -> attempt.node == quick).count() >= 7);
    }

    @Test
    void newObjectsDoNotPourOntoANodeThatTurnsUp() {
        SchedulerHarness host = new SchedulerHarness(2);
        host.passTime(3000);
        host.nodes.add(host.node(2));
        host.relist();
        for (int i = 0; i < 8; i++) {
            host.take(SchedulerHarness.WRITE, -1);
        }
        assertEquals(8, host.sent.size());
        assertTrue(host.sent.stream().noneMatch(attempt -> attempt.node == host.nodes.get(2)));
    }

    @Test
    void utilityStillDueGoesBeforeAnEarlierDeadline() {
        SchedulerHarness host = new SchedulerHarness(1);
        Volume surging = host.volume(0);
        for (int i = 0; i < 8; i++) {
            host.take(SchedulerHarness.READ, surging, 1000 + i, 2, 0);
        }
        host.passTime(10);
        Operation reserved = host.take(SchedulerHarness.READ, 0);
        assertTrue(reserved.attempts.isEmpty());
        host.end(host.sent.get(0), Outcome.SERVED);
        assertEquals(1, reserved.attempts.size());
    }

    @Test
    void whatOthersUsedDrawsOnTheReserve() {
        SchedulerHarness host = new SchedulerHarness(1);
        Volume heavyElsewhere = host.volume(1);
        Operation told = host.take(SchedulerHarness.READ, heavyElsewhere, 1, 1, 0);
        host.lastAttempt(told).otherGatewaysUnits = 40;
        host.end(host.lastAttempt(told), Outcome.SERVED);
        for (int i = 0; i < 4; i++) {
            host.take(SchedulerHarness.READ, 0);
        }
        Operation spent = host.take(SchedulerHarness.READ, heavyElsewhere, 2, 2, 0);
        host.passTime(4);
        Operation due = host.take(SchedulerHarness.READ, 0);
        host.end(host.sent.get(1), Outcome.SERVED);
        assertTrue(spent.attempts.isEmpty());
        assertEquals(1, due.attempts.size());
    }

    @Test
    void aLateOperationIsDeclinedAtOnceWhenOthersTakeTheSlots() {
        SchedulerHarness host = new SchedulerHarness(1);
        for (int i = 0; i < 4; i++) {
            host.take(SchedulerHarness.BULK, 0);
        }
        Operation read = host.take(SchedulerHarness.READ, host.volume(0), 1, 2, 0);
        // The node goes on answering: it is no trial that the read waits for.
        for (int i = 0; i < 4; i++) {
            host.passTime(50);
            host.take(SchedulerHarness.READ, 0);
            host.end(host.sent.get(i), Outcome.SERVED);
        }
        assertTrue(read.attempts.isEmpty() && !read.ended);
        host.passTime(52);
        assertTrue(read.ended, "its target time is past, its patience is not");
        assertEquals(1, host.declined.size());
    }
}
