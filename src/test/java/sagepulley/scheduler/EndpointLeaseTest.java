package sagepulley.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import sagepulley.membership.EndpointLease;
import sagepulley.model.Operation;
import sagepulley.model.Reason;

/** How long a list of endpoints may be relied on, and what routing does once that time is over. */
class EndpointLeaseTest {
    private static final double SPAN = 6_000;
    private static final double GRACE = 1_000;

    /** What the lease keeps back of the grace, for a process that is held up before it writes. */
    private static final double RESERVED = 200;

    private final EndpointLease lease = new EndpointLease(SPAN, GRACE);

    @Test
    void aProcessWithoutConfirmationHoldsNoLease() {
        assertFalse(lease.holds(0));
    }

    @Test
    void itEndsOneSpanAndTheGraceAfterTheLatestConfirmation() {
        lease.confirmed(100);
        lease.confirmed(50);
        assertTrue(lease.holds(100 + SPAN + GRACE - RESERVED - 1));
        assertFalse(lease.holds(100 + SPAN + GRACE - RESERVED));
    }

    @Test
    void anOutageRenewsALeaseUnderWhichNothingUnknownCountsAsNotified() {
        lease.confirmed(0);
        lease.unreachable(SPAN - 1);
        assertTrue(lease.holds(2 * SPAN));
    }

    @Test
    void anOutageRenewsNoLeaseUnderWhichSomethingMayCountAsNotifiedAlready() {
        lease.confirmed(0);
        lease.unreachable(SPAN + 1);
        assertFalse(lease.holds(SPAN + GRACE));
        lease.unreachable(SPAN + GRACE);
        assertFalse(lease.holds(SPAN + GRACE));
    }

    @Test
    void aRefusalRenewsNothingForAProcessThatNeverHadAList() {
        lease.unreachable(0);
        assertFalse(lease.holds(1));
    }

    @Test
    void aNewConfigurationShortensItUntilDiscoveryConfirms() {
        lease.confirmed(0);
        lease.reloadNotified(100);
        lease.reloadCompleted(110);
        assertFalse(lease.holds(100 + 4_000 + GRACE));
        lease.confirmed(300);
        assertTrue(lease.holds(100 + 4_000 + GRACE));
    }

    @Test
    void nothingRenewsItWhileANewConfigurationIsNotRead() {
        lease.confirmed(0);
        lease.reloadNotified(100);
        lease.confirmed(200);
        lease.unreachable(250);
        assertFalse(lease.holds(100 + 4_000 + GRACE));
        lease.reloadNotified(300);
        lease.reloadCompleted(299);
        lease.confirmed(400);
        assertFalse(
                lease.holds(100 + 4_000 + GRACE), "what was read is older than what was told last");
        lease.reloadCompleted(500);
        lease.confirmed(600);
        assertTrue(lease.holds(100 + 4_000 + GRACE));
    }

    @Test
    void anUnboundedLeaseAlwaysHolds() {
        EndpointLease unbounded = new EndpointLease(Double.POSITIVE_INFINITY, GRACE);
        unbounded.reloadNotified(5);
        assertTrue(unbounded.holds(1e12));
    }

    @Test
    void withoutALeaseNothingIsSentAndTheClientMayRetry() {
        SchedulerHarness harness = new SchedulerHarness(1, 0, 1, true, Double.NaN, SPAN);
        harness.scheduler.onListConfirmed(harness.now);
        assertEquals(1, harness.submit(SchedulerHarness.READ, 0).attempts.size());
        harness.serveAllInFlight();
        harness.advanceClock(SPAN + GRACE);
        Operation waiting = harness.submit(SchedulerHarness.READ, 0);
        assertEquals(0, waiting.attempts.size());
        assertEquals(Reason.NO_LEASE, WaitExplainer.reasonFor(harness.scheduler, waiting, harness.now));
        harness.advanceClock(260);
        assertTrue(harness.rejected.contains(waiting));
        Operation next = harness.submit(SchedulerHarness.READ, 0);
        harness.scheduler.onListConfirmed(harness.now);
        harness.advanceClock(2);
        assertEquals(1, next.attempts.size(), "with the next confirmation it goes");
    }

    /** Its connection comes up only when the lease has ended. */
    @Test
    void anAttemptThatIsDelayedBeyondTheLeaseDoesNotStart() {
        SchedulerHarness harness = new SchedulerHarness(1, 0, 1, true, Double.NaN, SPAN);
        harness.scheduler.onListConfirmed(harness.now - SPAN);
        Operation read = harness.submit(SchedulerHarness.BULK, 0);
        assertEquals(1, read.attempts.size());
        assertTrue(harness.scheduler.mayStart(harness.lastAttempt(read), harness.now));
        assertFalse(harness.scheduler.mayStart(harness.lastAttempt(read), harness.now + GRACE));
    }
}
