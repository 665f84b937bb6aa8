package sagepulley.faultinjection;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import sagepulley.scenario.SeededRun;

/**
 * Runs a small fleet of real processes under overlapping faults drawn from one seed: faults of
 * discovery, storage endpoints, gateway processes, system calls and the wall clock. Checks the
 * traffic seen on the sockets and keeps a journal of the faults.
 */
public final class SoakRun implements SeededRun {
    private static final int SHARDS = 6;
    private static final int CLIENTS = 4;
    private static final long CLIENT_PAUSE_MILLIS = 45;
    private static final double DISCONNECTING_SHARE = 0.08;
    private static final int SIGHUP_IGNORED_ONE_IN = 6;

    /** Covers two polls of discovery at the longest interval and the duration of the first one. */
    private static final long MAX_RECOVERY_MILLIS = 12_000;

    private static final long SERVICE_WATCH_MILLIS = 2_000;

    private final long seed;
    private final long lengthMillis;
    private final int gateways;
    private final Random random;
    private final TestFleet fleet;
    private final SystemCallShim shim;
    private final SoakOperator operator;
    private final List<String> journal = new CopyOnWriteArrayList<>();
    private final List<String> failures = new ArrayList<>();

    /**
     * Creates a run that has not started yet.
     *
     * @param folder receives configurations and logs
     */
    public SoakRun(long seed, Path folder, long lengthMillis)
            throws IOException, InterruptedException {
        this.seed = seed;
        this.lengthMillis = lengthMillis;
        this.random = new Random(seed);
        this.gateways = 2 + random.nextInt(3);
        this.fleet = new TestFleet(folder, gateways, SHARDS, random.nextInt(4) == 0);
        this.shim = random.nextInt(2) == 0 ? SystemCallShim.in(folder) : null;
        this.operator = new SoakOperator(seed, fleet, shim);
        if (shim != null) {
            int failuresInTenThousand = random.nextInt(2) == 0 ? 0 : 5 + random.nextInt(40);
            shim.environment(seed, failuresInTenThousand).forEach(fleet::setEnvironment);
            addToJournal("system calls fail " + failuresInTenThousand + " in 10,000");
        }
        if (random.nextInt(SIGHUP_IGNORED_ONE_IN) == 0) {
            fleet.launchWithSighupIgnored();
            addToJournal("gateways are started with SIGHUP ignored");
        }
    }

    /** Executes the run and returns a description of each violation. */
    @Override
    public List<String> violations() throws IOException, InterruptedException {
        operator.startGateways(gateways);
        addToJournal(
                "request clock "
                        + operator.runStartedAt() / 1_000_000 % 10_000_000
                        + " ms, wall clock "
                        + Instant.now());
        for (int i = 0; i < gateways; i++) {
            fleet.startLoad(
                    i,
                    CLIENTS,
                    new ClientLoad.ClientBehaviour(
                            CLIENT_PAUSE_MILLIS,
                            TestFleet.MAX_DEADLINE_MILLIS,
                            DISCONNECTING_SHARE),
                    seed * 10 + i);
        }
        perform(plan());
        Thread.sleep(Math.max(0, lengthMillis - elapsedMillis()));
        operator.awaitRestarts();
        checkRecovery();
        for (ClientLoad load : fleet.loads) {
            load.stop();
        }
        return checkRules();
    }

    /** Returns the journal of events with the number of requests by outcome. */
    @Override
    public String journalText() {
        Map<Request.End, Integer> outcomes = new EnumMap<>(Request.End.class);
        for (Request request : fleet.requests()) {
            outcomes.merge(request.end == null ? Request.End.SILENT : request.end, 1, Integer::sum);
        }
        return "seed "
                + seed
                + ", "
                + gateways
                + " gateways, outcomes "
                + outcomes
                + "\n  "
                + String.join("\n  ", journal);
    }

    /** Returns the number of requests served so far. */
    @Override
    public long served() {
        return fleet.requests().stream()
                .filter(request -> request.end == Request.End.SERVED)
                .count();
    }

    private Queue<SoakPlan.Event> plan() {
        return new SoakPlan(random, lengthMillis, gateways, SHARDS, operator).draw(shim != null);
    }

    private void perform(Queue<SoakPlan.Event> events) throws IOException, InterruptedException {
        while (!events.isEmpty()) {
            SoakPlan.Event next = events.poll();
            long wait = next.atMillis() - elapsedMillis();
            if (wait > 0) {
                Thread.sleep(wait);
            }
            addToJournal(next.description());
            next.action().run();
        }
    }

    /** Checks that each gateway serves requests MAX_RECOVERY_MILLIS after the last fault. */
    private void checkRecovery() throws InterruptedException {
        Thread.sleep(MAX_RECOVERY_MILLIS);
        long from = System.nanoTime();
        Thread.sleep(SERVICE_WATCH_MILLIS);
        for (int gateway = 0; gateway < gateways; gateway++) {
            boolean serves =
                    fleet.loads.get(gateway).requests.stream()
                            .anyMatch(
                                    request ->
                                            request.sentAt >= from
                                                    && request.end == Request.End.SERVED);
            if (!serves) {
                failures.add(
                        "gateway "
                                + gateway
                                + " served no request in "
                                + SERVICE_WATCH_MILLIS
                                + " ms, "
                                + MAX_RECOVERY_MILLIS
                                + " ms after the last fault: "
                                + operator.logTail(gateway));
            }
        }
    }

    private List<String> checkRules() {
        List<Request> requests = fleet.requests();
        List<StoreServer.Arrival> arrivals = fleet.arrivals();
        List<String> violations = new ArrayList<>(operator.failures());
        violations.addAll(failures);
        violations.addAll(new DrainRule(fleet).violations(arrivals, requests));
        AnswerRule answers =
                new AnswerRule(operator.terminations(), operator.openedIdleConnections());
        violations.addAll(answers.violations(arrivals, requests));
        return violations;
    }

    private void addToJournal(String event) {
        String time = operator.runStartedAt() == 0 ? "start" : elapsedMillis() + " ms";
        journal.add(time + ": " + event);
    }

    private long elapsedMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - operator.runStartedAt());
    }

    @Override
    public void close() {
        operator.close();
        fleet.close();
    }
}
