package sagepulley.faultinjection;

import java.io.Closeable;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * One run of a small fleet of real processes under faults that follow from one seed: trouble of
 * discovery, of storage endpoints, of gateway processes, of the system's calls and clock,
 * overlapping. What it judges is what passed on the sockets; what it did is kept as a journal, for
 * whoever looks for the cause.
 */
public final class SoakRun implements Closeable {
    private static final int SHARDS = 6;
    private static final int CLIENTS = 4;
    private static final int IDLE_CONNECTIONS_PER_GATEWAY = 130;
    private static final int HANGUPS_IGNORED_ONE_IN = 6;

    /** Two list calls at the longest gap, and the time of the first one. */
    private static final long MAX_RECOVERY_MILLIS = 12_000;

    private static final long SERVICE_WATCH_MILLIS = 2_000;
    private static final long QUIET_START_MILLIS = 1_500;
    private static final long MAX_OUTAGE_MILLIS = 12_000;
    private static final String SUSPEND_SECONDS = "0.1";
    private static final long HOUR_MILLIS = 3_600_000;

    /** SIGKILL comes no sooner after SIGTERM than the longest deadline and this. */
    private static final long KILL_DELAY_MILLIS = 700;

    /** So long after SIGTERM new connections keep coming. */
    private static final long NEW_CONNECTIONS_MILLIS = 400;

    /** Something that happens at a time of the run. */
    private record Event(long atMillis, long order, String description, Action action) {}

    private interface Action {
        void run() throws IOException, InterruptedException;
    }

    private final long seed;
    private final long lengthMillis;
    private final int gateways;
    private final Random random;
    private final TestFleet fleet;
    private final SystemCallShim shim;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    (a, b) ->
                            a.atMillis() != b.atMillis()
                                    ? Long.compare(a.atMillis(), b.atMillis())
                                    : Long.compare(a.order(), b.order()));
    private final List<String> journal = new CopyOnWriteArrayList<>();
    private final List<AnswerRule.Ending> endings = new CopyOnWriteArrayList<>();
    private final Map<Integer, GatewayProcess> running = new ConcurrentHashMap<>();
    private final Map<Integer, Boolean> busy = new ConcurrentHashMap<>();
    private final List<Socket> idleConnections = new CopyOnWriteArrayList<>();
    private final List<String> failures = new CopyOnWriteArrayList<>();
    private long startedAt;
    private long order;

    public SoakRun(long seed, Path folder, long lengthMillis)
            throws IOException, InterruptedException {
        this.seed = seed;
        this.lengthMillis = lengthMillis;
        this.random = new Random(seed);
        this.gateways = 2 + random.nextInt(3);
        this.fleet = new TestFleet(folder, gateways, SHARDS, random.nextInt(4) == 0);
        this.shim = random.nextInt(2) == 0 ? SystemCallShim.in(folder) : null;
        if (shim != null) {
            int failures = random.nextInt(2) == 0 ? 0 : 5 + random.nextInt(40);
            shim.environment(seed, failures).forEach(fleet::environment);
            addToJournal("system calls fail " + failures + " in 10,000");
        }
        if (random.nextInt(HANGUPS_IGNORED_ONE_IN) == 0) {
            fleet.launchWithHangupsIgnored();
            addToJournal("gateways are started with SIGHUP ignored");
        }
    }

    /** Runs it to its end, and gives what broke a rule. */
    public List<String> violations() throws IOException, InterruptedException {
        for (int i = 0; i < gateways; i++) {
            running.put(i, fleet.start(i));
        }
        for (GatewayProcess gateway : running.values()) {
            gateway.awaitReady();
        }
        startedAt = System.nanoTime();
        addToJournal(
                "on the clock of the requests "
                        + startedAt / 1_000_000 % 10_000_000
                        + " ms, wall "
                        + Instant.now());
        for (int i = 0; i < gateways; i++) {
            fleet.load(
                    i,
                    CLIENTS,
                    new ClientLoad.ClientBehaviour(45, TestFleet.MAX_DEADLINE_MILLIS, 0.08),
                    seed * 10 + i);
        }
        plan();
        while (!events.isEmpty()) {
            Event next = events.poll();
            long wait = next.atMillis() - elapsedMillis();
            if (wait > 0) {
                Thread.sleep(wait);
            }
            addToJournal(next.description());
            next.action().run();
        }
        Thread.sleep(Math.max(0, lengthMillis - elapsedMillis()));
        while (busy.containsValue(true)) {
            Thread.sleep(50);
        }
        checkRecovery();
        for (ClientLoad load : fleet.loads) {
            load.stop();
        }
        return checkRules();
    }

    /** All trouble is over: after a while each gateway has to serve again. */
    private void checkRecovery() throws InterruptedException {
        Thread.sleep(MAX_RECOVERY_MILLIS);
        long from = System.nanoTime();
        Thread.sleep(SERVICE_WATCH_MILLIS);
        for (int gateway = 0; gateway < gateways; gateway++) {
            boolean serves =
                    loadOf(gateway).requests.stream()
                            .anyMatch(
                                    request ->
                                            request.sentAt >= from
                                                    && request.end == Request.End.SERVED);
            if (!serves) {
                failures.add(
                        "gateway "
                                + gateway
                                + " serves nothing "
                                + MAX_RECOVERY_MILLIS
                                + " ms after the last trouble: "
                                + tail(running.get(gateway)));
            }
        }
    }

    private List<String> checkRules() {
        List<Request> requests = fleet.requests();
        List<StoreServer.Arrival> arrivals = fleet.arrivals();
        List<String> broken = new ArrayList<>(failures);
        broken.addAll(new DrainRule(fleet).violations(arrivals, requests));
        broken.addAll(
                new AnswerRule(endings, !idleConnections.isEmpty()).violations(arrivals, requests));
        return broken;
    }

    /** What happened when, and how many requests ended how. */
    public String journalText() {
        Map<Request.End, Integer> ends = new HashMap<>();
        fleet.requests()
                .forEach(
                        request ->
                                ends.merge(
                                        request.end == null ? Request.End.SILENT : request.end,
                                        1,
                                        Integer::sum));
        return "seed "
                + seed
                + ", "
                + gateways
                + " gateways, ends "
                + ends
                + "\n  "
                + String.join("\n  ", journal);
    }

    public long served() {
        return fleet.requests().stream()
                .filter(request -> request.end == Request.End.SERVED)
                .count();
    }

    private void addToJournal(String what) {
        journal.add((startedAt == 0 ? "start" : elapsedMillis() + " ms") + ": " + what);
    }

    private long elapsedMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt);
    }

    private void at(long ms, String what, Action action) {
        events.add(new Event(ms, order++, what, action));
    }

    // ---- the plan ----

    private void plan() {
        for (long at = QUIET_START_MILLIS; at < lengthMillis - 4_000; ) {
            long length = 1_000L + random.nextInt(9_000);
            planDiscoveryFault(at, length);
            at += length + random.nextInt(3_000);
        }
        for (long at = QUIET_START_MILLIS + random.nextInt(2_000);
                at < lengthMillis - 3_000;
                at += 700 + random.nextInt(2_500)) {
            planEndpointEvent(at);
        }
        for (long at = QUIET_START_MILLIS + random.nextInt(3_000);
                at < lengthMillis - 8_000;
                at += 2_000 + random.nextInt(5_000)) {
            planGatewayEvent(at);
        }
        for (long at = QUIET_START_MILLIS; at < lengthMillis; at += 1_000 + random.nextInt(4_000)) {
            int gateway = random.nextInt(gateways);
            at(at, "gateway " + gateway + " is held up", () -> suspend(gateway));
        }
        if (shim != null) {
            for (long at = QUIET_START_MILLIS;
                    at < lengthMillis;
                    at += 3_000 + random.nextInt(6_000)) {
                long offset =
                        random.nextBoolean()
                                ? random.nextInt(10_000) - 5_000
                                : random.nextBoolean() ? HOUR_MILLIS : -HOUR_MILLIS;
                at(at, "wall clock off by " + offset + " ms", () -> shim.step(offset));
            }
        }
        if (random.nextInt(3) == 0) {
            at(
                    QUIET_START_MILLIS + random.nextInt(3_000),
                    "a crowd of idle connections",
                    this::openIdleConnections);
        }
    }

    private void planDiscoveryFault(long at, long length) {
        DiscoveryServer.Behaviour healthy = DiscoveryServer.Behaviour.HEALTHY;
        long slow = 500L + random.nextInt(4_000);
        boolean cutsWatches = random.nextInt(3) > 0;
        switch (random.nextInt(8)) {
            case 0 ->
                    planBehaviour(
                            at,
                            length,
                            healthy.firstByteAfter(slow),
                            cutsWatches,
                            "first byte after " + slow);
            case 1 ->
                    planBehaviour(
                            at,
                            length,
                            healthy.tricklingFor(slow),
                            cutsWatches,
                            "lists trickle for " + slow);
            case 2 -> {
                long service = 100L + random.nextInt(1_500);
                long timeout = 1_000L + random.nextInt(2_000);
                int limit = 1 + random.nextInt(6);
                planBehaviour(
                        at,
                        length,
                        healthy.inTurn(service, timeout, limit),
                        cutsWatches,
                        "crowded: "
                                + service
                                + " ms a call, 503 after "
                                + timeout
                                + " ms or behind "
                                + limit);
            }
            case 3 ->
                    planBehaviour(
                            at,
                            length,
                            healthy.rejectsAll(),
                            cutsWatches,
                            "every call is rejected");
            case 4 ->
                    planBehaviour(
                            at, length, healthy.saysNothing(), cutsWatches, "calls get no answer");
            case 5 -> {
                at(
                        at,
                        "discovery: watches fall silent",
                        () -> fleet.discovery.watchesSilent = true);
                at(
                        at + length,
                        "discovery: watches speak",
                        () -> fleet.discovery.watchesSilent = false);
            }
            case 6 -> {
                at(at, "discovery: down", fleet.discovery::goDown);
                at(
                        at + Math.min(length, MAX_OUTAGE_MILLIS),
                        "discovery: up",
                        fleet.discovery::comeBack);
            }
            default -> {
                at(at, "discovery: cut off", fleet.discovery::cutOff);
                at(
                        at + Math.min(length, MAX_OUTAGE_MILLIS),
                        "discovery: reachable",
                        fleet.discovery::comeBack);
            }
        }
    }

    private void planBehaviour(
            long at,
            long length,
            DiscoveryServer.Behaviour behaviour,
            boolean cutsWatches,
            String what) {
        DiscoveryServer.Behaviour form =
                random.nextBoolean() ? behaviour.withWhiteSpace() : behaviour;
        at(
                at,
                "discovery: " + what,
                () -> {
                    fleet.discovery.behaviour = form;
                    if (cutsWatches) {
                        fleet.discovery.resetAll();
                    }
                });
        at(
                at + length,
                "discovery: healthy",
                () -> fleet.discovery.behaviour = DiscoveryServer.Behaviour.HEALTHY);
    }

    private void planEndpointEvent(long at) {
        int shard = random.nextInt(SHARDS);
        StoreServer store = fleet.stores.get(shard);
        switch (random.nextInt(4)) {
            case 0, 1 -> {
                long back = at + 6_000 + random.nextInt(6_000);
                boolean vanishes = random.nextBoolean();
                at(at, store.id + " drains", () -> list(store, Endpoint.State.DRAINING));
                if (vanishes) {
                    at(
                            at + 1_000 + random.nextInt(3_000),
                            store.id + " is gone",
                            () -> list(store, Endpoint.State.DELETED));
                }
                at(back, store.id + " serves again", () -> list(store, Endpoint.State.SERVING));
            }
            case 2 -> {
                long hang = 500L + random.nextInt(6_000);
                at(at, store.id + " hangs", () -> store.unresponsive = true);
                at(at + hang, store.id + " goes on", () -> store.unresponsive = false);
            }
            default -> at(at, store.id + " resets its connections", store::resetAll);
        }
    }

    private void list(StoreServer store, Endpoint.State state) {
        long startedAt = state == Endpoint.State.SERVING ? System.currentTimeMillis() : 0;
        fleet.discovery.set(store.endpoint(state, startedAt));
    }

    private void planGatewayEvent(long at) {
        int gateway = random.nextInt(gateways);
        switch (random.nextInt(6)) {
            case 0 ->
                    at(
                            at,
                            "gateway " + gateway + " is killed",
                            () -> inBackground(gateway, () -> restart(gateway, false)));
            case 1, 2 ->
                    at(
                            at,
                            "gateway " + gateway + " is told to end",
                            () -> inBackground(gateway, () -> restart(gateway, true)));
            case 3 -> at(at, "discovery moves for gateway " + gateway, () -> reload(gateway));
            case 4 -> {
                long unreadable = 300L + random.nextInt(6_000);
                at(
                        at,
                        "discovery moves for gateway " + gateway + ", its file cannot be read",
                        () -> reloadUnreadable(gateway));
                at(
                        at + unreadable,
                        "the file of gateway " + gateway + " can be read",
                        () -> writeConfig(gateway));
            }
            default -> {
                at(at, "discovery moves for gateway " + gateway, () -> reload(gateway));
                at(at + 150, "and again", () -> reload(gateway));
                at(
                        at + 300,
                        "gateway " + gateway + " is told to end",
                        () -> inBackground(gateway, () -> restart(gateway, true)));
            }
        }
    }

    // ---- what happens to gateways ----

    private void inBackground(int gateway, Action action) {
        if (Boolean.TRUE.equals(busy.put(gateway, true))) {
            return; // it is on its way down already
        }
        BackgroundTasks.run(
                "operator",
                () -> {
                    try {
                        action.run();
                    } finally {
                        busy.put(gateway, false);
                    }
                });
    }

    /**
     * SIGKILL at the earliest moment that the page allows, or at once; then the same gateway starts
     * anew.
     */
    private void restart(int gateway, boolean planned) throws IOException, InterruptedException {
        GatewayProcess process = running.get(gateway);
        long termSentAt = 0;
        if (!process.isAlive()) {
            failures.add("gateway " + gateway + " has crashed: " + tail(process));
        } else if (planned) {
            termSentAt = System.nanoTime();
            process.signal("TERM");
            long killAfter = TestFleet.MAX_DEADLINE_MILLIS + KILL_DELAY_MILLIS;
            if (random(gateway).nextInt(3) == 0) {
                process.signal("TERM");
            }
            Thread.sleep(NEW_CONNECTIONS_MILLIS);
            loadOf(gateway).connectElsewhere(true);
            Thread.sleep(
                    Math.max(
                            0,
                            killAfter
                                    - TimeUnit.NANOSECONDS.toMillis(
                                            System.nanoTime() - termSentAt)));
        }
        long killSentAt = System.nanoTime();
        process.kill();
        endings.add(new AnswerRule.Ending(gateway, termSentAt, killSentAt, System.nanoTime()));
        GatewayProcess fresh = fleet.start(gateway);
        running.put(gateway, fresh);
        loadOf(gateway).connectElsewhere(false);
        long since = System.nanoTime();
        while (!fresh.answersPing()) {
            if (TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - since) > 10) {
                failures.add(
                        "gateway "
                                + gateway
                                + " is not ready 10 s after its restart: "
                                + tail(fresh));
                return;
            }
            Thread.sleep(100);
        }
    }

    private ClientLoad loadOf(int gateway) {
        return fleet.loads.get(gateway);
    }

    private Random random(int gateway) {
        return new Random(seed * 31 + gateway + elapsedMillis() / 1_000);
    }

    private static String tail(GatewayProcess process) {
        List<String> lines = process.logText().lines().toList();
        return String.join("\n", lines.subList(Math.max(0, lines.size() - 15), lines.size()));
    }

    /** Where discovery is told elsewhere, but nobody can read where. */
    private void reloadUnreadable(int gateway) throws IOException, InterruptedException {
        if (Boolean.TRUE.equals(busy.get(gateway))) {
            return;
        }
        fleet.moveDiscovery(gateway);
        fleet.makeConfigUnreadable(gateway);
        fleet.signalReload(running.get(gateway));
    }

    private void writeConfig(int gateway) throws IOException {
        if (!Boolean.TRUE.equals(busy.get(gateway))) {
            fleet.writeConfig(gateway);
        }
    }

    private void reload(int gateway) throws IOException, InterruptedException {
        if (Boolean.TRUE.equals(busy.get(gateway))) {
            return;
        }
        fleet.moveDiscovery(running.get(gateway));
    }

    private void suspend(int gateway) throws IOException, InterruptedException {
        GatewayProcess process = running.get(gateway);
        if (process.isAlive()) {
            process.suspend(SUSPEND_SECONDS);
        }
    }

    /** Connections to every gateway that ask nothing. */
    private void openIdleConnections() {
        for (GatewayProcess process : running.values()) {
            for (int i = 0; i < IDLE_CONNECTIONS_PER_GATEWAY; i++) {
                try {
                    Socket idle = new Socket();
                    idleConnections.add(idle);
                    idle.connect(process.listen, 200);
                } catch (IOException full) {
                    break;
                }
            }
        }
    }

    @Override
    public void close() {
        idleConnections.forEach(BackgroundTasks::close);
        fleet.close();
    }
}
