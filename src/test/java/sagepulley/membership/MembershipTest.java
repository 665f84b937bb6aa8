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

/** Checks the view of members after updates, handshakes, restored lists and elapsed time. */
class MembershipTest {
    private static final double MINUTE_MILLIS = 60_000;
    private static final double DAY_MILLIS = 86_400_000;
    private static final double START_MILLIS = 1e12;

    private Membership newMembership() {
        return new Membership("site", Membership.Policy.DEFAULT, new SplittableRandom(1));
    }

    private static EndpointRecord endpoint(int node, EndpointRecord.Phase phase) {
        return new EndpointRecord(node, node, 0, 0, phase, 0, 1, "h" + node, 7000);
    }

    private static EndpointRecord ready(int node) {
        return endpoint(node, EndpointRecord.Phase.READY);
    }

    private static EndpointListUpdate complete(long version, EndpointRecord... endpoints) {
        return new EndpointListUpdate("site", 1, version, true, List.of(endpoints));
    }

    private static EndpointRecord.Phase phase(Membership membership, int node, double now) {
        return membership.members(now).stream()
                .filter(member -> member.endpoint().node() == node)
                .findFirst()
                .orElseThrow()
                .phase();
    }

    private static Membership.MemberView member(Membership membership, int node, double now) {
        return membership.members(now).stream()
                .filter(candidate -> candidate.endpoint().node() == node)
                .findFirst()
                .orElseThrow();
    }

    private Membership restoredAfter(double age, EndpointRecord... endpoints) {
        Membership original = newMembership();
        original.applyUpdate(complete(5, endpoints), START_MILLIS);
        Membership restored = newMembership();
        restored.restore(original.snapshot(), START_MILLIS + age);
        return restored;
    }

    @Test
    void freshListIsUsedWithoutProbes() {
        Membership restored =
                restoredAfter(MINUTE_MILLIS, ready(1), endpoint(2, EndpointRecord.Phase.DRAINING));
        assertEquals(ListFreshness.FRESH, restored.freshness(START_MILLIS + MINUTE_MILLIS));
        assertTrue(member(restored, 1, START_MILLIS + MINUTE_MILLIS).acceptsNewObjects());
        assertEquals(
                EndpointRecord.Phase.DRAINING, phase(restored, 2, START_MILLIS + MINUTE_MILLIS));
        assertTrue(restored.takeProbes(START_MILLIS + MINUTE_MILLIS).isEmpty());
    }

    @Test
    void agedListAllowsNewObjectsOnlyAfterHandshake() {
        double now = START_MILLIS + 60 * MINUTE_MILLIS;
        Membership restored = restoredAfter(60 * MINUTE_MILLIS, ready(1));
        assertEquals(EndpointRecord.Phase.READY, phase(restored, 1, now));
        assertFalse(member(restored, 1, now).acceptsNewObjects());
        assertEquals(
                Membership.HandshakeVerdict.ACCEPTED,
                restored.handshakeCompleted(1, 1, 1, false, 0, now));
        assertTrue(member(restored, 1, now).acceptsNewObjects());
    }

    @Test
    void oldListRequiresProbesWithLimitedConcurrency() {
        double now = START_MILLIS + 7 * DAY_MILLIS;
        EndpointRecord[] endpoints = new EndpointRecord[20];
        for (int i = 0; i < endpoints.length; i++) {
            endpoints[i] = ready(i + 1);
        }
        Membership restored = restoredAfter(7 * DAY_MILLIS, endpoints);
        assertEquals(EndpointRecord.Phase.REMOVED, phase(restored, 1, now));
        List<Integer> probed = new ArrayList<>();
        for (double time = now; time < now + 1_000; time += 10) {
            probed.addAll(restored.takeProbes(time));
        }
        assertEquals(4, probed.size(), "at most four probes are in flight");
        restored.handshakeCompleted(
                probed.get(0), probed.get(0), probed.get(0), false, 0, now + 1_000);
        assertEquals(EndpointRecord.Phase.READY, phase(restored, probed.get(0), now + 1_000));
        assertEquals(1, restored.takeProbes(now + 1_100).size());
    }

    @Test
    void nodeWithWrongIdentityIsExcludedUntilListedAtNewAddress() {
        Membership restored = restoredAfter(MINUTE_MILLIS, ready(1), ready(2), ready(3));
        double now = START_MILLIS + MINUTE_MILLIS;
        assertEquals(
                Membership.HandshakeVerdict.WRONG_NODE,
                restored.handshakeCompleted(1, 99, 1, false, 0, now));
        assertEquals(
                Membership.HandshakeVerdict.WRONG_NODE,
                restored.handshakeCompleted(2, 2, 17, false, 0, now));
        assertEquals(
                Membership.HandshakeVerdict.REROUTE,
                restored.handshakeCompleted(3, 3, 3, true, 0, now));
        assertEquals(EndpointRecord.Phase.REMOVED, phase(restored, 1, now));
        assertEquals(EndpointRecord.Phase.REMOVED, phase(restored, 2, now));
        assertEquals(EndpointRecord.Phase.DRAINING, phase(restored, 3, now));
        restored.applyUpdate(
                new EndpointListUpdate(
                        "site",
                        1,
                        6,
                        false,
                        List.of(
                                new EndpointRecord(
                                        1, 1, 0, 0, EndpointRecord.Phase.READY, 0, 1, "h9", 7000))),
                now);
        assertEquals(EndpointRecord.Phase.READY, phase(restored, 1, now));
        assertEquals(EndpointRecord.Phase.REMOVED, phase(restored, 2, now));
    }

    @Test
    void handshakeOfRestartedNodeRequiresRerouting() {
        Membership restored = restoredAfter(MINUTE_MILLIS, ready(1));
        double now = START_MILLIS + MINUTE_MILLIS;
        assertEquals(
                Membership.HandshakeVerdict.REROUTE,
                restored.handshakeCompleted(1, 1, 1, false, (long) now - 500, now));
        assertEquals((long) now - 500, member(restored, 1, now).endpoint().startedAt());
        // A lagging directory does not reset the start that the node reported.
        restored.applyUpdate(complete(6, ready(1)), now + 10);
        assertEquals((long) now - 500, member(restored, 1, now + 10).endpoint().startedAt());
    }

    @Test
    void emptyListOrListOfAnotherSiteIsRejected() {
        Membership membership = newMembership();
        membership.applyUpdate(complete(5, ready(1)), START_MILLIS);
        assertFalse(
                membership
                        .applyUpdate(
                                new EndpointListUpdate(
                                        "other",
                                        1,
                                        9,
                                        true,
                                        List.of(endpoint(1, EndpointRecord.Phase.REMOVED))),
                                START_MILLIS)
                        .accepted());
        assertFalse(membership.applyUpdate(complete(9), START_MILLIS).accepted());
        assertEquals(EndpointRecord.Phase.READY, phase(membership, 1, START_MILLIS));
    }

    @Test
    void olderVersionAppliesOnlyRestrictions() {
        Membership membership = newMembership();
        membership.applyUpdate(
                complete(5, ready(1), endpoint(2, EndpointRecord.Phase.DRAINING), ready(3)),
                START_MILLIS);
        Membership.UpdateResult result =
                membership.applyUpdate(
                        complete(4, endpoint(1, EndpointRecord.Phase.DRAINING), ready(2)),
                        START_MILLIS + 1);
        assertFalse(result.accepted());
        assertEquals(EndpointRecord.Phase.DRAINING, phase(membership, 1, START_MILLIS + 1));
        assertEquals(EndpointRecord.Phase.DRAINING, phase(membership, 2, START_MILLIS + 1));
        assertEquals(
                EndpointRecord.Phase.READY,
                phase(membership, 3, START_MILLIS + 1),
                "a stale list must not remove the nodes that it omits");
    }

    @Test
    void nodeOmittedByRebuiltDirectoryIsRemovedAfterGracePeriod() {
        Membership membership = newMembership();
        membership.applyUpdate(complete(5, ready(1), ready(2)), START_MILLIS);
        membership.applyUpdate(
                new EndpointListUpdate("site", 2, 1, true, List.of(ready(1))), START_MILLIS + 1);
        assertEquals(EndpointRecord.Phase.READY, phase(membership, 2, START_MILLIS + 1));
        membership.applyUpdate(
                new EndpointListUpdate("site", 2, 2, false, List.of(ready(2))),
                START_MILLIS + 5_000);
        membership.advanceTo(START_MILLIS + 40_000);
        assertEquals(
                EndpointRecord.Phase.READY,
                phase(membership, 2, START_MILLIS + 40_000),
                "node 2 was listed again within the grace period");
        membership.applyUpdate(
                new EndpointListUpdate("site", 3, 1, true, List.of(ready(1))),
                START_MILLIS + 41_000);
        membership.advanceTo(START_MILLIS + 72_000);
        assertEquals(EndpointRecord.Phase.REMOVED, phase(membership, 2, START_MILLIS + 72_000));
    }

    @Test
    void flappingNodeIsHeldDown() {
        Membership membership = newMembership();
        double now = START_MILLIS;
        long version = 1;
        membership.applyUpdate(complete(version, ready(1), ready(2)), now);
        for (int i = 0; i < 3; i++) {
            now += 100;
            membership.applyUpdate(
                    complete(++version, endpoint(1, EndpointRecord.Phase.DRAINING), ready(2)), now);
            now += 100;
            membership.applyUpdate(complete(++version, ready(1), ready(2)), now);
        }
        assertEquals(EndpointRecord.Phase.DRAINING, phase(membership, 1, now));
        assertFalse(membership.advanceTo(now + 4_000));
        assertTrue(membership.advanceTo(now + 5_100));
        assertEquals(EndpointRecord.Phase.READY, phase(membership, 1, now + 5_100));
    }

    @Test
    void clockSetBackMakesTheListOld() {
        Membership original = newMembership();
        original.applyUpdate(complete(5, ready(1)), START_MILLIS);
        Membership restored = newMembership();
        restored.restore(original.snapshot(), START_MILLIS - DAY_MILLIS);
        assertEquals(ListFreshness.OLD, restored.freshness(START_MILLIS - DAY_MILLIS));
        assertEquals(EndpointRecord.Phase.REMOVED, phase(restored, 1, START_MILLIS - DAY_MILLIS));
    }

    @Test
    void unresponsiveNodeIsProbedWithBackoff() {
        Membership membership = newMembership();
        membership.addConfigured(List.of(ready(1)));
        int probes = 0;
        for (double time = START_MILLIS; time < START_MILLIS + 300_000; time += 50) {
            if (!membership.takeProbes(time).isEmpty()) {
                probes++;
                membership.disconnected(1, time);
            }
        }
        assertTrue(
                probes >= 8 && probes <= 30,
                "probed " + probes + " times in five minutes, expected 8 to 30");
    }

    /**
     * Compares membership with a simple model over random lists, handshakes, disconnects, restarts
     * from disk and clock changes. A node that any source restricts must not be used, and none may
     * be used beyond the trust in its sources.
     *
     * <p>The last digit of a step selects the event; the other digits select a node and a value.
     */
    @Property(tries = 400, seed = "17")
    void membersAreUsedOnlyAsTheirSourcesPermit(
            @ForAll @Size(min = 5, max = 120) List<@IntRange(max = 9_999) Integer> steps) {
        Membership membership = newMembership();
        double now = START_MILLIS;
        long version = 3;
        long history = 1;
        boolean hasList = false;
        double confirmedAt = Double.NEGATIVE_INFINITY;
        Map<Integer, Boolean> listedReady = new HashMap<>();
        Map<Integer, Boolean> selfDraining = new HashMap<>();
        Map<Integer, Boolean> hasWrongIdentity = new HashMap<>();
        Map<Integer, Boolean> connected = new HashMap<>();
        for (int step : steps) {
            int node = 1 + step / 10 % 5;
            int value = step / 50;
            switch (step % 10) {
                case 0, 1 -> {
                    List<EndpointRecord> endpoints = new ArrayList<>();
                    for (int i = 1; i <= 5; i++) {
                        endpoints.add(
                                endpoint(i, EndpointRecord.Phase.values()[1 + (value >> i & 1)]));
                    }
                    membership.applyUpdate(
                            new EndpointListUpdate("site", history, ++version, true, endpoints),
                            now);
                    endpoints.forEach(
                            endpoint ->
                                    listedReady.put(
                                            endpoint.node(),
                                            endpoint.phase() == EndpointRecord.Phase.READY));
                    confirmedAt = now;
                    hasList = true;
                }
                case 2 -> {
                    if (hasList) {
                        EndpointRecord.Phase phase = EndpointRecord.Phase.values()[value % 3];
                        membership.applyUpdate(
                                new EndpointListUpdate(
                                        "site",
                                        history,
                                        version - 1,
                                        false,
                                        List.of(endpoint(node, phase))),
                                now);
                        listedReady.computeIfPresent(
                                node,
                                (id, wasReady) -> wasReady && phase == EndpointRecord.Phase.READY);
                    }
                }
                case 3 ->
                        membership.applyUpdate(
                                new EndpointListUpdate(
                                        "elsewhere",
                                        history,
                                        version + 9,
                                        true,
                                        List.of(ready(node))),
                                now);
                case 4 -> {
                    boolean draining = value % 3 == 0;
                    int answeringNode = value % 7 == 0 ? 99 : node;
                    int cell = value % 11 == 0 ? 99 : node;
                    membership.handshakeCompleted(node, answeringNode, cell, draining, 0, now);
                    if (listedReady.containsKey(node)) {
                        boolean isWrong = answeringNode != node || cell != node;
                        hasWrongIdentity.put(node, isWrong);
                        connected.put(node, !isWrong);
                        if (!isWrong) {
                            selfDraining.put(node, draining);
                        }
                    }
                }
                case 5 -> {
                    membership.disconnected(node, now);
                    connected.put(node, false);
                }
                case 6 -> {
                    membership.drainAnnounced(node);
                    if (listedReady.containsKey(node)) {
                        selfDraining.put(node, true);
                    }
                }
                case 7 -> now += value * value * 100.0;
                case 8 -> {
                    StoredEndpointList stored = membership.snapshot();
                    membership = newMembership();
                    double clockChangeMillis =
                            value % 4 == 0 ? -3 * DAY_MILLIS : value % 4 * DAY_MILLIS;
                    now += clockChangeMillis;
                    membership.restore(stored, now);
                    hasWrongIdentity.clear();
                    connected.clear();
                    confirmedAt =
                            stored.confirmedAt() == 0 || stored.confirmedAt() > now + 1000
                                    ? Double.NEGATIVE_INFINITY
                                    : confirmedAt;
                }
                default -> {
                    membership.advanceTo(now);
                    membership.takeProbes(now);
                }
            }
            assertUseMatchesTrust(
                    membership,
                    now,
                    confirmedAt,
                    listedReady,
                    selfDraining,
                    hasWrongIdentity,
                    connected);
        }
    }

    private static void assertUseMatchesTrust(
            Membership membership,
            double now,
            double confirmedAt,
            Map<Integer, Boolean> listedReady,
            Map<Integer, Boolean> selfDraining,
            Map<Integer, Boolean> hasWrongIdentity,
            Map<Integer, Boolean> connected) {
        for (Membership.MemberView member : membership.members(now)) {
            int id = member.endpoint().node();
            if (member.phase() == EndpointRecord.Phase.READY) {
                assertTrue(
                        listedReady.get(id),
                        "node " + id + " is used although the list restricts it");
                assertFalse(
                        selfDraining.getOrDefault(id, false),
                        "node " + id + " is used although it is draining");
                assertFalse(
                        hasWrongIdentity.getOrDefault(id, false),
                        "node " + id + " is used although its identity is wrong");
                boolean isOld = now - confirmedAt > Membership.Policy.DEFAULT.agedMillis();
                assertTrue(
                        !isOld || member.verified(),
                        "node " + id + " is used from an old list without verification");
            }
            if (member.acceptsNewObjects()) {
                assertEquals(EndpointRecord.Phase.READY, member.phase());
                assertTrue(
                        now - confirmedAt <= Membership.Policy.DEFAULT.freshMillis()
                                || member.verified());
            }
            if (connected.getOrDefault(id, false)) {
                assertTrue(member.verified());
            }
        }
    }
}
