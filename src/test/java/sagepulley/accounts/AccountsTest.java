package sagepulley.accounts;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import sagepulley.model.Outcome;
import sagepulley.model.QuotaTier;
import sagepulley.model.Reason;
import sagepulley.model.TrafficClass;

/** Checks that the time of operations is fully accounted for and charged to the right cause. */
class AccountsTest {
    private static final TrafficClass TRAFFIC_CLASS =
            new TrafficClass(
                    0,
                    "read",
                    TrafficClass.Idempotency.IDEMPOTENT,
                    TrafficClass.DeduplicationScope.CELL,
                    0,
                    false,
                    false,
                    200,
                    0,
                    1000,
                    3,
                    0.2);
    private static final Accounts.Bounds SMALL_BOUNDS = new Accounts.Bounds(5, 60, 8);

    private final Accounts accounts = new Accounts(Accounts.Bounds.DEFAULT, 0);

    /** Runs one operation with a single answered attempt. */
    private OperationTimer runServedOperation(
            Accounts target,
            long volume,
            int node,
            QuotaTier quotaTier,
            double at,
            double waited,
            double worked,
            double queue) {
        OperationTimer timer = target.begin(volume, TRAFFIC_CLASS, false, 1, at);
        target.attemptSent(timer, node, quotaTier, at);
        target.attemptAnswered(timer, waited, worked, queue, at + waited + worked);
        target.end(timer, Accounts.End.SERVED, Reason.NONE, node, at + waited + worked);
        return timer;
    }

    /** Runs one operation that waits at the gateway for a node and is rejected. */
    private void runRejectedOperation(
            Accounts target,
            long volume,
            LatencyComponent component,
            int node,
            double from,
            double to) {
        OperationTimer timer = target.begin(volume, TRAFFIC_CLASS, false, 1, from);
        target.waitStarted(timer, component, node, from);
        target.end(timer, Accounts.End.REJECTED, Reason.OBJECTIVE_MISSED, node, to);
    }

    /**
     * The steps of an operation, and its causes, sum to its duration for any sequence of events.
     */
    @Property(tries = 300, seed = "31")
    void stepsSumToTheDuration(
            @ForAll @Size(min = 1, max = 60) List<@IntRange(min = 0, max = 46) Integer> steps,
            @ForAll @DoubleRange(min = 0, max = 1e7) double start,
            @ForAll @Size(min = 1, max = 5) List<@DoubleRange(min = 0, max = 900) Double> lengths) {
        Accounts tracked = new Accounts(SMALL_BOUNDS, 1e12);
        List<OperationTimer> others = new ArrayList<>();
        OperationTimer timer = tracked.begin(7, TRAFFIC_CLASS, steps.size() % 2 == 0, 2, start);
        double now = start;
        for (int i = 0; i < steps.size(); i++) {
            double length = lengths.get(i % lengths.size());
            int step = steps.get(i);
            if (i % 3 == 0) {
                OperationTimer other = tracked.begin(step % 9, TRAFFIC_CLASS, true, 1, now);
                tracked.attemptSent(other, step % 4, QuotaTier.values()[step % 3], now);
                others.add(other);
            }
            now += length;
            if (step < 16) {
                tracked.waitStarted(timer, LatencyComponent.values()[step], step % 3, now);
            } else if (step < 28) {
                tracked.attemptSent(timer, step % 4, QuotaTier.values()[step % 3], now);
                // A node may report more time than the attempt took.
                tracked.attemptAnswered(
                        timer,
                        length * (step - 16) / 6,
                        length * (step - 20) / 4,
                        step % 5,
                        now + length);
                now += length;
            } else {
                tracked.attemptSent(timer, step % 4, QuotaTier.values()[step % 3], now);
                tracked.attemptFailed(
                        timer, Outcome.values()[step % Outcome.values().length], now + length / 2);
                now += length;
            }
        }
        tracked.end(timer, Accounts.End.SERVED, Reason.NONE, 1, now);
        tracked.waitStarted(
                timer,
                LatencyComponent.FAILED_ATTEMPT,
                1,
                now + 500); // nothing is added after the end
        for (OperationTimer other : others) {
            tracked.attemptFailed(other, Outcome.TIMED_OUT, now + 1);
        }
        double sum = 0;
        for (LatencyComponent component : LatencyComponent.values()) {
            assertTrue(timer.millisIn(component) >= 0);
            sum += timer.millisIn(component);
        }
        assertEquals(now - start, sum, 1e-6 * Math.max(1, now));
        LatencyReport report = tracked.report(7, start, now);
        double causes =
                report.causes().stream().mapToDouble(LatencyReport.CauseReport::waited).sum();
        assertEquals(sum, causes, 1e-6 * Math.max(1, now));
        assertEquals(
                sum,
                report.components().values().stream().mapToDouble(Double::doubleValue).sum(),
                1e-6 * now + 1e-6);
        for (LatencyReport.CauseReport cause : report.causes()) {
            assertTrue(
                    cause.lowerBound() <= cause.waited() + 1e-6
                            && cause.waited() <= cause.upperBound() + 1e-6,
                    cause.toString());
        }
    }

    @Test
    void aSlowNodeIsDistinguishedFromANeighbour() {
        for (int i = 0; i < 50; i++) {
            for (int node = 1; node <= 4; node++) {
                runServedOperation(
                        accounts, 1, node, QuotaTier.SHARE, 10 * i, 0, node == 4 ? 80 : 10, 0);
            }
        }
        OperationTimer neighbour = accounts.begin(9, TRAFFIC_CLASS, false, 3, 600);
        accounts.attemptSent(neighbour, 4, QuotaTier.EXCESS, 600);
        OperationTimer waiting = accounts.begin(2, TRAFFIC_CLASS, false, 1, 600);
        accounts.waitStarted(waiting, LatencyComponent.SHARE_FULL, 4, 600);
        accounts.end(waiting, Accounts.End.REJECTED, Reason.OBJECTIVE_MISSED, 4, 900);
        LatencyReport report = accounts.report(2, 0, 2000);
        assertEquals(Cause.Kind.SLOW_NODE, report.mainCause().kind());
        assertEquals(4, report.mainCause().node());
        assertEquals(7.0 / 8, report.mainCause().share(), 0.02);
        assertEquals(3, report.lostWeight(), 1e-9);
        assertEquals(
                3,
                report.causes().stream().mapToDouble(LatencyReport.CauseReport::lostWeight).sum(),
                1e-6);
        assertTrue(
                report.causes().stream()
                        .anyMatch(
                                cause ->
                                        cause.kind() == Cause.Kind.NEIGHBOUR
                                                && cause.volume() == 9),
                report.causes().toString());
    }

    @Test
    void aWaitInTheExcessTierIsChargedToTheVolumesOwnLoad() {
        for (int i = 0; i < 8; i++) {
            accounts.attemptSent(
                    accounts.begin(3, TRAFFIC_CLASS, false, 1, 0), 1, QuotaTier.RESERVATION, 0);
        }
        for (int i = 0; i < 30; i++) {
            runRejectedOperation(accounts, 2, LatencyComponent.EXCESS_FULL, 1, 0, 10);
            runRejectedOperation(accounts, 4, LatencyComponent.RESERVATION_FULL, 1, 0, 10);
        }
        assertEquals(Cause.Kind.OWN_LOAD, accounts.report(2, 0, 100).mainCause().kind());
        assertTrue(
                accounts.report(2, 0, 100).causes().stream()
                        .noneMatch(cause -> cause.kind() == Cause.Kind.NEIGHBOUR),
                "no other volume is charged");
        LatencyReport reservationReport = accounts.report(4, 0, 100);
        assertEquals(Cause.Kind.NEIGHBOUR, reservationReport.mainCause().kind());
        assertEquals(3, reservationReport.mainCause().volume());
        assertEquals(LatencyReport.Confidence.HIGH, reservationReport.mainCause().confidence());
    }

    @Test
    void loadOfOtherGatewaysIsNotChargedToALocalVolume() {
        for (int i = 0; i < 60; i++) {
            double at = 100 * i;
            OperationTimer local = accounts.begin(5, TRAFFIC_CLASS, false, 1, at);
            accounts.attemptSent(local, 1, QuotaTier.SHARE, at);
            // The node reports a queue that is not this gateway's.
            runServedOperation(accounts, 2, 1, QuotaTier.SHARE, at, 60, 5, 30);
            accounts.attemptAnswered(local, 60, 5, 30, at + 66);
            accounts.end(local, Accounts.End.SERVED, Reason.NONE, 1, at + 66);
        }
        for (int i = 0; i < 30; i++) {
            runRejectedOperation(accounts, 2, LatencyComponent.SHARE_FULL, 1, 6000 + i, 6050 + i);
        }
        LatencyReport report = accounts.report(2, 0, 9_000);
        assertEquals(
                Cause.Kind.OTHER_GATEWAYS, report.mainCause().kind(), report.causes().toString());
        assertNotEquals(LatencyReport.Confidence.HIGH, report.mainCause().confidence());
    }

    @Test
    void aPauseIsChargedToEarlierWritesAndNotToReads() {
        for (int i = 0; i < 100; i++) {
            OperationTimer writer = accounts.begin(8, TRAFFIC_CLASS, true, 1, 20 * i);
            accounts.attemptSent(writer, 1, QuotaTier.SHARE, 20 * i);
            accounts.attemptAnswered(writer, 0, 5, 0, 20 * i + 5);
            accounts.end(writer, Accounts.End.SERVED, Reason.NONE, 1, 20 * i + 5);
            OperationTimer earlier = accounts.begin(3, TRAFFIC_CLASS, false, 1, 20 * i + 6);
            accounts.attemptSent(earlier, 1, QuotaTier.SHARE, 20 * i + 6);
            // The typical wait behind one unit is 5 ms; every twentieth takes 300 ms.
            runServedOperation(
                    accounts, 2, 1, QuotaTier.SHARE, 20 * i + 6, i % 20 == 19 ? 300 : 5, 5, 0);
            accounts.attemptAnswered(earlier, 0, 5, 0, 20 * i + 11);
            accounts.end(earlier, Accounts.End.SERVED, Reason.NONE, 1, 20 * i + 11);
        }
        LatencyReport report = accounts.report(2, 0, 9_000);
        assertEquals(Cause.Kind.PAUSE, report.mainCause().kind(), report.causes().toString());
        assertEquals(8, report.mainCause().volume(), "its writes preceded the pauses");
        assertNotEquals(LatencyReport.Confidence.HIGH, report.mainCause().confidence());
    }

    @Test
    void waitsForASilentNodeAreChargedAsItsFault() {
        for (int i = 0; i < 20; i++) {
            runServedOperation(accounts, 3, 1, QuotaTier.SHARE, 10 * i, 0, 5, 0);
        }
        for (int i = 0; i < 8; i++) {
            accounts.attemptSent(
                    accounts.begin(3, TRAFFIC_CLASS, false, 1, 200), 1, QuotaTier.SHARE, 200);
        }
        for (int i = 0; i < 30; i++) {
            runRejectedOperation(accounts, 2, LatencyComponent.SHARE_FULL, 1, 200, 900);
        }
        LatencyReport report = accounts.report(2, 0, 9_000);
        assertEquals(Cause.Kind.FAULT, report.mainCause().kind());
        assertEquals(1, report.mainCause().node());
    }

    @Test
    void aTimeoutInALongQueueIsNotChargedAsAFault() {
        OperationTimer neighbour = accounts.begin(9, TRAFFIC_CLASS, false, 20, 0);
        accounts.attemptSent(neighbour, 1, QuotaTier.EXCESS, 0);
        for (int i = 0; i < 40; i++) {
            runServedOperation(accounts, 9, 1, QuotaTier.EXCESS, 100 * i, 90, 10, 0);
        }
        for (int i = 0; i < 30; i++) {
            OperationTimer rejected = accounts.begin(2, TRAFFIC_CLASS, false, 1, 3900);
            accounts.attemptSent(rejected, 1, QuotaTier.SHARE, 3900);
            runServedOperation(accounts, 9, 1, QuotaTier.EXCESS, 3900, 90, 10, 0);
            accounts.attemptFailed(rejected, Outcome.TIMED_OUT, 4100);
            accounts.end(rejected, Accounts.End.REJECTED, Reason.OBJECTIVE_MISSED, 1, 4100);
            OperationTimer abandoned = accounts.begin(3, TRAFFIC_CLASS, false, 1, 3900);
            accounts.attemptSent(abandoned, 1, QuotaTier.SHARE, 3900);
            runServedOperation(accounts, 9, 1, QuotaTier.EXCESS, 3900, 90, 10, 0);
            accounts.attemptFailed(abandoned, Outcome.TIMED_OUT, 6900);
            accounts.end(abandoned, Accounts.End.ABANDONED, Reason.MAY_HAVE_EXECUTED, 1, 6900);
        }
        assertEquals(Cause.Kind.NEIGHBOUR, accounts.report(2, 0, 9000).mainCause().kind());
        assertEquals(
                Cause.Kind.FAULT,
                accounts.report(3, 0, 9000).mainCause().kind(),
                "the node answered other attempts but not this one");
    }

    @Test
    void memoryIsBoundedForAnyNumberOfVolumes() {
        Accounts bounded = new Accounts(SMALL_BOUNDS, 0);
        for (int i = 0; i < 100_000; i++) {
            double at = i * 100.0;
            OperationTimer timer = bounded.begin(i + 1, TRAFFIC_CLASS, i % 2 == 0, 1, at);
            bounded.attemptSent(timer, 1 + i % 30, QuotaTier.SHARE, at);
            bounded.attemptFailed(timer, Outcome.RESET, at + 10);
            bounded.waitStarted(timer, LatencyComponent.SHARE_FULL, 1 + i % 30, at + 10);
            bounded.end(timer, Accounts.End.ABANDONED, Reason.MAY_HAVE_EXECUTED, 1, at + 50);
        }
        assertTrue(bounded.volumes().size() <= 6, bounded.volumes().toString());
        assertTrue(
                bounded.windowCount() <= 60,
                "window count, expected at most 60: " + bounded.windowCount());
        assertTrue(bounded.report(0, 0, 10_000_000).causes().size() <= AccountWindow.MAX_CAUSES);
        long operations =
                bounded.volumes().stream()
                        .mapToLong(volume -> bounded.report(volume, 0, 10_000_000).operations())
                        .sum();
        assertEquals(100_000, operations, "merging must keep the number of operations");
    }

    @Test
    void tenThousandVolumesEachHaveAnAccount() {
        for (int i = 1; i <= 10_000; i++) {
            runServedOperation(accounts, i, 1 + i % 40, QuotaTier.SHARE, i, 1, 1, 0);
        }
        assertEquals(10_000, accounts.volumes().size());
        assertEquals(10_000, accounts.windowCount());
        assertEquals(1, accounts.report(77, 0, 20_000).operations());
    }

    @Test
    void planTiersAreCountedSeparately() {
        runServedOperation(accounts, 2, 1, QuotaTier.RESERVATION, 0, 1, 4, 0);
        runServedOperation(accounts, 2, 1, QuotaTier.EXCESS, 0, 300, 10, 0);
        OperationTimer limited = accounts.begin(2, TRAFFIC_CLASS, false, 1, 0);
        accounts.waitStarted(limited, LatencyComponent.LIMIT, 0, 0);
        accounts.attemptSent(limited, 1, QuotaTier.SHARE, 50);
        accounts.attemptAnswered(limited, 0, 5, 0, 55);
        accounts.end(limited, Accounts.End.SERVED, Reason.NONE, 1, 55);
        LatencyReport report = accounts.report(2, 0, 1000);
        assertEquals(
                List.of(PlanTier.RESERVATION, PlanTier.EXCESS, PlanTier.LIMIT),
                report.tiers().stream().map(LatencyReport.TierReport::tier).toList());
        LatencyReport.TierReport excess = report.tiers().get(1);
        assertEquals(1, excess.missed());
        assertEquals(3 * 0.8, excess.lostWeight(), 1e-9);
        assertEquals(310, excess.p50(), 310 * 0.07);
    }

    @Test
    void storedAccountsAreRestoredWithTheClockSetBack() {
        Accounts earlier = new Accounts(Accounts.Bounds.DEFAULT, 5e9);
        runServedOperation(earlier, 2, 1, QuotaTier.SHARE, 1000, 5, 5, 0);
        LatencyAccount stored = StoredAccounts.of(earlier.snapshot()).toAccount();
        Accounts restored = new Accounts(Accounts.Bounds.DEFAULT, 5e9 - 7_200_000);
        restored.restore(stored, 0);
        assertEquals(1, restored.report(2, -86_400_000, 0).operations());
        runServedOperation(restored, 2, 1, QuotaTier.SHARE, 10, 5, 5, 0);
        assertEquals(2, restored.report(2, -86_400_000, 1000).operations());
    }

    @Test
    void mergingChargesOtherGatewaysLoadToItsVolumes() {
        // The second gateway's clock is one hour ahead; both were notified of versions 4 and 5.
        Accounts floodingGateway = new Accounts(Accounts.Bounds.DEFAULT, 1e12 + 3_600_000);
        for (int i = 0; i < 200; i++) {
            runServedOperation(floodingGateway, 9, 1, QuotaTier.EXCESS, 30 * i, 20, 10, 0);
        }
        Accounts affectedGateway = new Accounts(Accounts.Bounds.DEFAULT, 1e12);
        for (int i = 0; i < 60; i++) {
            runServedOperation(affectedGateway, 2, 1, QuotaTier.SHARE, 100 * i, 60, 5, 30);
        }
        assertEquals(
                Cause.Kind.OTHER_GATEWAYS, affectedGateway.report(2, 0, 10_000).mainCause().kind());
        FleetMerger.Merged merged =
                FleetMerger.merge(
                        List.of(
                                new FleetMerger.GatewayAccount(
                                        "one",
                                        affectedGateway.snapshot(),
                                        Map.of(4L, 1e12 + 1, 5L, 1e12 + 900)),
                                new FleetMerger.GatewayAccount(
                                        "two",
                                        floodingGateway.snapshot(),
                                        Map.of(4L, 1e12 + 3_600_003, 5L, 1e12 + 3_600_902))));
        assertEquals(3_600_002, merged.clocks().get(1).offsetMillis(), 1);
        LatencyReport report = merged.account().report(2, 1e12, 1e12 + 10_000);
        assertEquals(Cause.Kind.NEIGHBOUR, report.mainCause().kind(), report.causes().toString());
        assertEquals(9, report.mainCause().volume());
        assertNotEquals(
                LatencyReport.Confidence.HIGH,
                report.mainCause().confidence(),
                "the cause is estimated, not observed");
    }
}
