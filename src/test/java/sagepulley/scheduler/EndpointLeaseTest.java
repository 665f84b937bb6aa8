package sagepulley.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import sagepulley.membership.EndpointLease;
import sagepulley.model.Operation;
import sagepulley.model.Reason;

/** Tests how long the lease on the endpoint list holds, and that nothing is sent without it. */
class EndpointLeaseTest {
    private static final double NOTIFICATION_SPAN_MILLIS = 6_000;
    private static final double DRAIN_GRACE_MILLIS = 1_000;

    /**
     * The part of the drain grace that the lease reserves for stalls of the process and its timers.
     */
    private static final double SAFETY_MARGIN_MILLIS = 200;

    private final EndpointLease lease =
            new EndpointLease(NOTIFICATION_SPAN_MILLIS, DRAIN_GRACE_MILLIS);

    @Test
    void noLeaseIsHeldBeforeTheFirstConfirmation() {
        assertFalse(lease.holds(0));
    }

    @Test
    void theLeaseExpiresOneSpanAndTheGraceAfterTheLatestConfirmation() {
        lease.confirmed(100);
        lease.confirmed(50);
        assertTrue(
                lease.holds(
                        100
                                + NOTIFICATION_SPAN_MILLIS
                                + DRAIN_GRACE_MILLIS
                                - SAFETY_MARGIN_MILLIS
                                - 1));
        assertFalse(
                lease.holds(
                        100
                                + NOTIFICATION_SPAN_MILLIS
                                + DRAIN_GRACE_MILLIS
                                - SAFETY_MARGIN_MILLIS));
    }

    @Test
    void anOutageWithinTheNotificationSpanRenewsTheLease() {
        lease.confirmed(0);
        lease.unreachable(NOTIFICATION_SPAN_MILLIS - 1);
        assertTrue(lease.holds(2 * NOTIFICATION_SPAN_MILLIS));
    }

    @Test
    void anOutageAfterTheNotificationSpanDoesNotRenewTheLease() {
        lease.confirmed(0);
        lease.unreachable(NOTIFICATION_SPAN_MILLIS + 1);
        assertFalse(lease.holds(NOTIFICATION_SPAN_MILLIS + DRAIN_GRACE_MILLIS));
        lease.unreachable(NOTIFICATION_SPAN_MILLIS + DRAIN_GRACE_MILLIS);
        assertFalse(lease.holds(NOTIFICATION_SPAN_MILLIS + DRAIN_GRACE_MILLIS));
    }

    @Test
    void anOutageBeforeTheFirstConfirmationGrantsNoLease() {
        lease.unreachable(0);
        assertFalse(lease.holds(1));
    }

    /** Changes count as notified 4 s after the notification of a reload. */
    @Test
    void aReloadShortensTheLeaseUntilTheNextConfirmation() {
        lease.confirmed(0);
        lease.reloadNotified(100);
        lease.reloadCompleted(110);
        assertFalse(lease.holds(100 + 4_000 + DRAIN_GRACE_MILLIS));
        lease.confirmed(300);
        assertTrue(lease.holds(100 + 4_000 + DRAIN_GRACE_MILLIS));
    }

    @Test
    void theLeaseIsNotRenewedWhileAReloadIsPending() {
        lease.confirmed(0);
        lease.reloadNotified(100);
        lease.confirmed(200);
        lease.unreachable(250);
        assertFalse(lease.holds(100 + 4_000 + DRAIN_GRACE_MILLIS));
        lease.reloadNotified(300);
        lease.reloadCompleted(299);
        lease.confirmed(400);
        assertFalse(
                lease.holds(100 + 4_000 + DRAIN_GRACE_MILLIS),
                "the configuration read is older than the latest notification");
        lease.reloadCompleted(500);
        lease.confirmed(600);
        assertTrue(lease.holds(100 + 4_000 + DRAIN_GRACE_MILLIS));
    }

    @Test
    void anUnboundedLeaseAlwaysHolds() {
        EndpointLease unbounded = new EndpointLease(Double.POSITIVE_INFINITY, DRAIN_GRACE_MILLIS);
        unbounded.reloadNotified(5);
        assertTrue(unbounded.holds(1e12));
    }

    @Test
    void withoutALeaseNothingIsSentAndTheOperationIsRejected() {
        SchedulerHarness harness =
                new SchedulerHarness(1, 0, 1, true, Double.NaN, NOTIFICATION_SPAN_MILLIS);
        harness.scheduler.onListConfirmed(harness.now);
        assertEquals(1, harness.submit(SchedulerHarness.READ, 0).attempts.size());
        harness.serveAllInFlight();
        harness.advanceClock(NOTIFICATION_SPAN_MILLIS + DRAIN_GRACE_MILLIS);
        Operation waiting = harness.submit(SchedulerHarness.READ, 0);
        assertEquals(0, waiting.attempts.size());
        assertEquals(
                Reason.NO_LEASE, WaitExplainer.reasonFor(harness.scheduler, waiting, harness.now));
        harness.advanceClock(260);
        assertTrue(harness.rejected.contains(waiting));
        Operation next = harness.submit(SchedulerHarness.READ, 0);
        harness.scheduler.onListConfirmed(harness.now);
        harness.advanceClock(2);
        assertEquals(1, next.attempts.size(), "sent after the next confirmation");
    }

    /** The connection of the attempt is established only after the lease has expired. */
    @Test
    void anAttemptDelayedBeyondTheLeaseDoesNotStart() {
        SchedulerHarness harness =
                new SchedulerHarness(1, 0, 1, true, Double.NaN, NOTIFICATION_SPAN_MILLIS);
        harness.scheduler.onListConfirmed(harness.now - NOTIFICATION_SPAN_MILLIS);
        Operation read = harness.submit(SchedulerHarness.BULK, 0);
        assertEquals(1, read.attempts.size());
        assertTrue(harness.scheduler.mayStart(harness.lastAttempt(read), harness.now));
        assertFalse(
                harness.scheduler.mayStart(
                        harness.lastAttempt(read), harness.now + DRAIN_GRACE_MILLIS));
    }
}
