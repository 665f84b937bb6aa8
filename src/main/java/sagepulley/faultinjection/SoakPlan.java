package sagepulley.faultinjection;

import java.io.IOException;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Random;

/**
 * Draws the faults of a soak run and their times. The plan depends only on the random source, so
 * the order of the draws must not change.
 */
final class SoakPlan {
    /** Time before the first fault, in which clients are served. */
    private static final long FAULT_FREE_START_MILLIS = 1_500;

    private static final long MAX_OUTAGE_MILLIS = 12_000;
    private static final long HOUR_MILLIS = 3_600_000;

    /** The action of an event. */
    interface Action {
        void run() throws IOException, InterruptedException;
    }

    /** An event at a time of the run; events at the same time keep their order. */
    record Event(long atMillis, long order, String description, Action action) {}

    private final Random random;
    private final long lengthMillis;
    private final int gateways;
    private final int stores;
    private final SoakActions actions;
    private final Queue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::order));
    private long order;

    /** Creates a plan for a fleet with a number of gateways and stores. */
    SoakPlan(Random random, long lengthMillis, int gateways, int stores, SoakActions actions) {
        this.random = random;
        this.lengthMillis = lengthMillis;
        this.gateways = gateways;
        this.stores = stores;
        this.actions = actions;
    }

    /**
     * Draws the events and returns them in a queue ordered by time.
     *
     * @param wallClockMoves whether the plan may change the wall clock
     */
    Queue<Event> draw(boolean wallClockMoves) {
        for (long at = FAULT_FREE_START_MILLIS; at < lengthMillis - 4_000; ) {
            long faultMillis = 1_000L + random.nextInt(9_000);
            planDiscoveryFault(at, faultMillis);
            at += faultMillis + random.nextInt(3_000);
        }
        for (long at = FAULT_FREE_START_MILLIS + random.nextInt(2_000);
                at < lengthMillis - 3_000;
                at += 700 + random.nextInt(2_500)) {
            planStoreEvent(at);
        }
        for (long at = FAULT_FREE_START_MILLIS + random.nextInt(3_000);
                at < lengthMillis - 8_000;
                at += 2_000 + random.nextInt(5_000)) {
            planGatewayEvent(at);
        }
        for (long at = FAULT_FREE_START_MILLIS;
                at < lengthMillis;
                at += 1_000 + random.nextInt(4_000)) {
            int gateway = random.nextInt(gateways);
            addEvent(
                    at,
                    "gateway " + gateway + " is held up",
                    () -> actions.suspendGateway(gateway));
        }
        if (wallClockMoves) {
            planWallClock();
        }
        if (random.nextInt(3) == 0) {
            addEvent(
                    FAULT_FREE_START_MILLIS + random.nextInt(3_000),
                    "a crowd of idle connections",
                    actions::openIdleConnections);
        }
        return events;
    }

    private void addEvent(long millis, String description, Action action) {
        events.add(new Event(millis, order++, description, action));
    }

    private void planWallClock() {
        for (long at = FAULT_FREE_START_MILLIS;
                at < lengthMillis;
                at += 3_000 + random.nextInt(6_000)) {
            long offset =
                    random.nextBoolean()
                            ? random.nextInt(10_000) - 5_000
                            : random.nextBoolean() ? HOUR_MILLIS : -HOUR_MILLIS;
            addEvent(
                    at,
                    "wall clock off by " + offset + " ms",
                    () -> actions.setWallClockOffset(offset));
        }
    }

    // ---- discovery ----

    private void planDiscoveryFault(long at, long faultMillis) {
        long slowMillis = 500L + random.nextInt(4_000);
        boolean resetsWatches = random.nextInt(3) > 0;
        switch (random.nextInt(8)) {
            case 0 ->
                    planBehaviour(
                            at,
                            faultMillis,
                            DiscoveryBehaviour.delayed(slowMillis),
                            resetsWatches,
                            "first byte after " + slowMillis);
            case 1 ->
                    planBehaviour(
                            at,
                            faultMillis,
                            DiscoveryBehaviour.trickling(slowMillis),
                            resetsWatches,
                            "lists trickle for " + slowMillis);
            case 2 -> planCallQueue(at, faultMillis, resetsWatches);
            case 3 ->
                    planBehaviour(
                            at,
                            faultMillis,
                            DiscoveryBehaviour.rejecting(),
                            resetsWatches,
                            "every call is rejected");
            case 4 ->
                    planBehaviour(
                            at,
                            faultMillis,
                            DiscoveryBehaviour.unresponsive(),
                            resetsWatches,
                            "calls get no answer");
            case 5 -> planSilentWatches(at, faultMillis);
            case 6 -> {
                addEvent(at, "discovery: down", actions::stopDiscovery);
                planRestore(at, faultMillis, "discovery: up");
            }
            default -> {
                addEvent(at, "discovery: cut off", actions::cutOffDiscovery);
                planRestore(at, faultMillis, "discovery: reachable");
            }
        }
    }

    private void planRestore(long at, long faultMillis, String description) {
        addEvent(
                at + Math.min(faultMillis, MAX_OUTAGE_MILLIS),
                description,
                actions::restoreDiscovery);
    }

    private void planSilentWatches(long at, long faultMillis) {
        addEvent(at, "discovery: watches fall silent", () -> actions.setWatchesSilent(true));
        addEvent(
                at + faultMillis,
                "discovery: watches speak",
                () -> actions.setWatchesSilent(false));
    }

    private void planCallQueue(long at, long faultMillis, boolean resetsWatches) {
        long serviceMillis = 100L + random.nextInt(1_500);
        long timeoutMillis = 1_000L + random.nextInt(2_000);
        int limit = 1 + random.nextInt(6);
        planBehaviour(
                at,
                faultMillis,
                DiscoveryBehaviour.oneAtATime(serviceMillis, timeoutMillis, limit),
                resetsWatches,
                "crowded: "
                        + serviceMillis
                        + " ms a call, 503 after "
                        + timeoutMillis
                        + " ms or behind "
                        + limit);
    }

    private void planBehaviour(
            long at,
            long faultMillis,
            DiscoveryBehaviour behaviour,
            boolean resetsWatches,
            String description) {
        DiscoveryBehaviour listBehaviour =
                random.nextBoolean() ? behaviour.withIndentation() : behaviour;
        addEvent(
                at,
                "discovery: " + description,
                () -> actions.setDiscoveryBehaviour(listBehaviour, resetsWatches));
        addEvent(
                at + faultMillis,
                "discovery: healthy",
                () -> actions.setDiscoveryBehaviour(DiscoveryBehaviour.HEALTHY, false));
    }

    // ---- stores ----

    private void planStoreEvent(long at) {
        int store = random.nextInt(stores);
        String name = TestFleet.storeName(store);
        switch (random.nextInt(4)) {
            case 0, 1 -> planDrain(at, store, name);
            case 2 -> {
                long faultMillis = 500L + random.nextInt(6_000);
                addEvent(at, name + " hangs", () -> actions.setStoreUnresponsive(store, true));
                addEvent(
                        at + faultMillis,
                        name + " goes on",
                        () -> actions.setStoreUnresponsive(store, false));
            }
            default ->
                    addEvent(at, name + " resets its connections", () -> actions.resetStore(store));
        }
    }

    private void planDrain(long at, int store, String name) {
        long servingAgainAt = at + 6_000 + random.nextInt(6_000);
        boolean isRemoved = random.nextBoolean();
        addEvent(at, name + " drains", () -> actions.listStore(store, Endpoint.State.DRAINING));
        if (isRemoved) {
            addEvent(
                    at + 1_000 + random.nextInt(3_000),
                    name + " is gone",
                    () -> actions.listStore(store, Endpoint.State.DELETED));
        }
        addEvent(
                servingAgainAt,
                name + " serves again",
                () -> actions.listStore(store, Endpoint.State.SERVING));
    }

    // ---- gateways ----

    private void planGatewayEvent(long at) {
        int gateway = random.nextInt(gateways);
        switch (random.nextInt(6)) {
            case 0 ->
                    addEvent(
                            at,
                            "gateway " + gateway + " is killed",
                            () -> actions.restartGateway(gateway, false));
            case 1, 2 -> planStop(at, gateway);
            case 3 -> planMove(at, gateway, "discovery moves for gateway " + gateway);
            case 4 -> {
                long unreadableMillis = 300L + random.nextInt(6_000);
                addEvent(
                        at,
                        "discovery moves for gateway " + gateway + ", its file cannot be read",
                        () -> actions.moveDiscoveryWithUnreadableConfig(gateway));
                addEvent(
                        at + unreadableMillis,
                        "the file of gateway " + gateway + " can be read",
                        () -> actions.restoreConfig(gateway));
            }
            default -> {
                planMove(at, gateway, "discovery moves for gateway " + gateway);
                planMove(at + 150, gateway, "and again");
                planStop(at + 300, gateway);
            }
        }
    }

    private void planMove(long at, int gateway, String description) {
        addEvent(at, description, () -> actions.moveDiscovery(gateway));
    }

    private void planStop(long at, int gateway) {
        addEvent(
                at,
                "gateway " + gateway + " is told to end",
                () -> actions.restartGateway(gateway, true));
    }
}
