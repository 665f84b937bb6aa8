package sagepulley.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** What membership makes of lists, contacts and time. */
class MembershipTest {
    private static final double MINUTE = 60_000;
    private static final double DAY = 86_400_000;
    private static final double START = 1e12;

    private Membership fresh() {
        return new Membership("site", Membership.Policy.DEFAULT, new SplittableRandom(1));
    }

    private static EndpointRecord line(int node, EndpointRecord.Phase standing) {
        return new EndpointRecord(node, node, 0, 0, standing, 0, 1, "h" + node, 7000);
    }

    private static EndpointRecord ready(int node) {
        return line(node, EndpointRecord.Phase.READY);
    }

    private static EndpointListUpdate whole(long version, EndpointRecord... lines) {
        return new EndpointListUpdate("site", 1, version, true, List.of(lines));
    }

    private static EndpointRecord.Phase use(Membership of, int node, double now) {
        return of.members(now).stream()
                .filter(seen -> seen.endpoint().node() == node)
                .findFirst()
                .orElseThrow()
                .phase();
    }

    private static Membership.MemberView seen(Membership of, int node, double now) {
        return of.members(now).stream()
                .filter(one -> one.endpoint().node() == node)
                .findFirst()
                .orElseThrow();
    }

    private Membership startedFrom(double age, EndpointRecord... lines) {
        Membership before = fresh();
        before.applyUpdate(whole(5, lines), START);
        Membership after = fresh();
        after.restore(before.snapshot(), START + age);
        return after;
    }

    @Test
    void aFreshListIsUsedAsItIs() {
        Membership after = startedFrom(MINUTE, ready(1), line(2, EndpointRecord.Phase.DRAINING));
        assertEquals(ListFreshness.FRESH, after.freshness(START + MINUTE));
        assertTrue(seen(after, 1, START + MINUTE).acceptsNewObjects());
        assertEquals(EndpointRecord.Phase.DRAINING, use(after, 2, START + MINUTE));
        assertTrue(after.takeProbes(START + MINUTE).isEmpty());
    }

    @Test
    void anAgedListServesReadsAndPlacesNothingNewBeforeProof() {
        double now = START + 60 * MINUTE;
        Membership after = startedFrom(60 * MINUTE, ready(1));
        assertEquals(EndpointRecord.Phase.READY, use(after, 1, now));
        assertFalse(seen(after, 1, now).acceptsNewObjects());
        assertEquals(
                Membership.HandshakeVerdict.ACCEPTED,
                after.handshakeCompleted(1, 1, 1, false, 0, now));
        assertTrue(seen(after, 1, now).acceptsNewObjects());
    }

    @Test
    void anOldListAsksEachNodeFirstAndFewAtATime() {
        double now = START + 7 * DAY;
        EndpointRecord[] many = new EndpointRecord[20];
        for (int i = 0; i < many.length; i++) {
            many[i] = ready(i + 1);
        }
        Membership after = startedFrom(7 * DAY, many);
        assertEquals(EndpointRecord.Phase.REMOVED, use(after, 1, now));
        List<Integer> asked = new ArrayList<>();
        for (double at = now; at < now + 1_000; at += 10) {
            asked.addAll(after.takeProbes(at));
        }
        assertEquals(4, asked.size(), "no more until one has answered");
        after.handshakeCompleted(asked.get(0), asked.get(0), asked.get(0), false, 0, now + 1_000);
        assertEquals(EndpointRecord.Phase.READY, use(after, asked.get(0), now + 1_000));
        assertEquals(1, after.takeProbes(now + 1_100).size());
    }

    @Test
    void whoAnswersAtAnAddressNowUsedByAnotherIsStruckUntilTheDirectoryKnowsBetter() {
        Membership after = startedFrom(MINUTE, ready(1), ready(2), ready(3));
        double now = START + MINUTE;
        assertEquals(
                Membership.HandshakeVerdict.WRONG_NODE,
                after.handshakeCompleted(1, 99, 1, false, 0, now));
        assertEquals(
                Membership.HandshakeVerdict.WRONG_NODE,
                after.handshakeCompleted(2, 2, 17, false, 0, now));
        assertEquals(
                Membership.HandshakeVerdict.REROUTE,
                after.handshakeCompleted(3, 3, 3, true, 0, now));
        assertEquals(EndpointRecord.Phase.REMOVED, use(after, 1, now));
        assertEquals(EndpointRecord.Phase.REMOVED, use(after, 2, now));
        assertEquals(EndpointRecord.Phase.DRAINING, use(after, 3, now));
        after.applyUpdate(
                new EndpointListUpdate(
                        "site",
                        1,
                        6,
                        false,
                        List.of(
                                new EndpointRecord(
                                        1, 1, 0, 0, EndpointRecord.Phase.READY, 0, 1, "h9", 7000))),
                now);
        assertEquals(EndpointRecord.Phase.READY, use(after, 1, now));
        assertEquals(EndpointRecord.Phase.REMOVED, use(after, 2, now));
    }

    @Test
    void whatARestartedNodeSaysIsThoughtOverAgain() {
        Membership after = startedFrom(MINUTE, ready(1));
        double now = START + MINUTE;
        assertEquals(
                Membership.HandshakeVerdict.REROUTE,
                after.handshakeCompleted(1, 1, 1, false, (long) now - 500, now));
        assertEquals((long) now - 500, seen(after, 1, now).endpoint().startedAt());
        // A directory that lags does not make it warm again.
        after.applyUpdate(whole(6, ready(1)), now + 10);
        assertEquals((long) now - 500, seen(after, 1, now + 10).endpoint().startedAt());
    }

    @Test
    void aListOfAnotherSiteOrAnEmptyOneIsNone() {
        Membership of = fresh();
        of.applyUpdate(whole(5, ready(1)), START);
        assertFalse(
                of.applyUpdate(
                                new EndpointListUpdate(
                                        "other",
                                        1,
                                        9,
                                        true,
                                        List.of(line(1, EndpointRecord.Phase.REMOVED))),
                                START)
                        .accepted());
        assertFalse(of.applyUpdate(whole(9), START).accepted());
        assertEquals(EndpointRecord.Phase.READY, use(of, 1, START));
    }

    @Test
    void anOlderVersionRestrictsAndPermitsNothing() {
        Membership of = fresh();
        of.applyUpdate(whole(5, ready(1), line(2, EndpointRecord.Phase.DRAINING), ready(3)), START);
        Membership.UpdateResult belief =
                of.applyUpdate(
                        whole(4, line(1, EndpointRecord.Phase.DRAINING), ready(2)), START + 1);
        assertFalse(belief.accepted());
        assertEquals(EndpointRecord.Phase.DRAINING, use(of, 1, START + 1));
        assertEquals(EndpointRecord.Phase.DRAINING, use(of, 2, START + 1));
        assertEquals(
                EndpointRecord.Phase.READY,
                use(of, 3, START + 1),
                "what an older list leaves out says nothing");
    }

    @Test
    void aDirectoryBuiltAnewMayLeaveOutNodesForAWhile() {
        Membership of = fresh();
        of.applyUpdate(whole(5, ready(1), ready(2)), START);
        of.applyUpdate(new EndpointListUpdate("site", 2, 1, true, List.of(ready(1))), START + 1);
        assertEquals(EndpointRecord.Phase.READY, use(of, 2, START + 1));
        of.applyUpdate(
                new EndpointListUpdate("site", 2, 2, false, List.of(ready(2))), START + 5_000);
        of.advanceTo(START + 40_000);
        assertEquals(EndpointRecord.Phase.READY, use(of, 2, START + 40_000), "it registered again");
        of.applyUpdate(
                new EndpointListUpdate("site", 3, 1, true, List.of(ready(1))), START + 41_000);
        of.advanceTo(START + 72_000);
        assertEquals(EndpointRecord.Phase.REMOVED, use(of, 2, START + 72_000));
    }

    @Test
    void whoFlapsIsHeldDown() {
        Membership of = fresh();
        double now = START;
        long version = 1;
        of.applyUpdate(whole(version, ready(1), ready(2)), now);
        for (int i = 0; i < 3; i++) {
            now += 100;
            of.applyUpdate(whole(++version, line(1, EndpointRecord.Phase.DRAINING), ready(2)), now);
            now += 100;
            of.applyUpdate(whole(++version, ready(1), ready(2)), now);
        }
        assertEquals(EndpointRecord.Phase.DRAINING, use(of, 1, now));
        assertFalse(of.advanceTo(now + 4_000));
        assertTrue(of.advanceTo(now + 5_100));
        assertEquals(EndpointRecord.Phase.READY, use(of, 1, now + 5_100));
    }

    @Test
    void aClockThatWasSetBackMakesTheListOld() {
        Membership before = fresh();
        before.applyUpdate(whole(5, ready(1)), START);
        Membership after = fresh();
        after.restore(before.snapshot(), START - DAY);
        assertEquals(ListFreshness.OLD, after.freshness(START - DAY));
        assertEquals(EndpointRecord.Phase.REMOVED, use(after, 1, START - DAY));
    }

    @Test
    void theOneThatWasNeverConfirmedIsAskedAgainEverMoreSeldom() {
        Membership of = fresh();
        of.addConfigured(List.of(ready(1)));
        int asked = 0;
        for (double at = START; at < START + 300_000; at += 50) {
            if (!of.takeProbes(at).isEmpty()) {
                asked++;
                of.disconnected(1, at);
            }
        }
        assertTrue(asked >= 8 && asked <= 30, "asked " + asked + " times in five minutes");
    }

    /**
     * A plain model of what may be believed, beside random lists, welcomes, losses, restarts from
     * disk and time: who is restricted by the last word of anybody is never used, and nobody is
     * used beyond the trust there is.
     */
    @Property(tries = 400, seed = "17")
    void nothingIsUsedBeyondWhatMayBeBelieved(
            @ForAll @Size(min = 5, max = 120) List<@IntRange(max = 9_999) Integer> steps) {
        Membership of = fresh();
        double now = START;
        long version = 3;
        long history = 1;
        boolean any = false;
        double confirmed = Double.NEGATIVE_INFINITY;
        Map<Integer, Boolean> listedReady = new HashMap<>();
        Map<Integer, Boolean> self = new HashMap<>();
        Map<Integer, Boolean> another = new HashMap<>();
        Map<Integer, Boolean> provenNow = new HashMap<>();
        for (int step : steps) {
            int node = 1 + step / 10 % 5;
            int much = step / 50;
            switch (step % 10) {
                case 0, 1 -> {
                    List<EndpointRecord> lines = new ArrayList<>();
                    for (int i = 1; i <= 5; i++) {
                        lines.add(line(i, EndpointRecord.Phase.values()[1 + (much >> i & 1)]));
                    }
                    of.applyUpdate(
                            new EndpointListUpdate("site", history, ++version, true, lines), now);
                    lines.forEach(
                            line ->
                                    listedReady.put(
                                            line.node(),
                                            line.phase() == EndpointRecord.Phase.READY));
                    confirmed = now;
                    any = true;
                }
                case 2 -> {
                    if (any) {
                        EndpointRecord.Phase standing = EndpointRecord.Phase.values()[much % 3];
                        of.applyUpdate(
                                new EndpointListUpdate(
                                        "site",
                                        history,
                                        version - 1,
                                        false,
                                        List.of(line(node, standing))),
                                now);
                        listedReady.computeIfPresent(
                                node, (id, was) -> was && standing == EndpointRecord.Phase.READY);
                    }
                }
                case 3 ->
                        of.applyUpdate(
                                new EndpointListUpdate(
                                        "elsewhere",
                                        history,
                                        version + 9,
                                        true,
                                        List.of(ready(node))),
                                now);
                case 4 -> {
                    boolean drains = much % 3 == 0;
                    int who = much % 7 == 0 ? 99 : node;
                    int cell = much % 11 == 0 ? 99 : node;
                    of.handshakeCompleted(node, who, cell, drains, 0, now);
                    if (listedReady.containsKey(node)) {
                        boolean wrong = who != node || cell != node;
                        another.put(node, wrong);
                        provenNow.put(node, !wrong);
                        if (!wrong) {
                            self.put(node, drains);
                        }
                    }
                }
                case 5 -> {
                    of.disconnected(node, now);
                    provenNow.put(node, false);
                }
                case 6 -> {
                    of.drainAnnounced(node);
                    if (listedReady.containsKey(node)) {
                        self.put(node, true);
                    }
                }
                case 7 -> now += much * much * 100.0;
                case 8 -> {
                    StoredEndpointList kept = of.snapshot();
                    of = fresh();
                    double jump = much % 4 == 0 ? -3 * DAY : much % 4 * DAY;
                    now += jump;
                    of.restore(kept, now);
                    another.clear();
                    provenNow.clear();
                    confirmed =
                            kept.confirmedAt() == 0 || kept.confirmedAt() > now + 1000
                                    ? Double.NEGATIVE_INFINITY
                                    : confirmed;
                }
                default -> {
                    of.advanceTo(now);
                    of.takeProbes(now);
                }
            }
            assertBelievable(of, now, confirmed, listedReady, self, another, provenNow);
        }
    }

    private static void assertBelievable(
            Membership of,
            double now,
            double confirmed,
            Map<Integer, Boolean> listedReady,
            Map<Integer, Boolean> self,
            Map<Integer, Boolean> another,
            Map<Integer, Boolean> provenNow) {
        for (Membership.MemberView seen : of.members(now)) {
            int id = seen.endpoint().node();
            if (seen.phase() == EndpointRecord.Phase.READY) {
                assertTrue(
                        listedReady.get(id),
                        "node " + id + " is used though the list restricts it");
                assertFalse(
                        self.getOrDefault(id, false), "node " + id + " is used though it drains");
                assertFalse(
                        another.getOrDefault(id, false),
                        "node " + id + " is used though it is another");
                boolean old = now - confirmed > Membership.Policy.DEFAULT.agedMillis();
                assertTrue(
                        !old || seen.verified(),
                        "node " + id + " is used by an old list, unproven");
            }
            if (seen.acceptsNewObjects()) {
                assertEquals(EndpointRecord.Phase.READY, seen.phase());
                assertTrue(
                        now - confirmed <= Membership.Policy.DEFAULT.freshMillis()
                                || seen.verified());
            }
            if (provenNow.getOrDefault(id, false)) {
                assertTrue(seen.verified());
            }
        }
    }
}
