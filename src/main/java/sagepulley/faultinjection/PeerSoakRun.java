package sagepulley.faultinjection;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import sagepulley.scenario.SeededRun;

/**
 * Runs one gateway process, with the memory of the deploy file, under misbehaving clients drawn
 * from a seed: floods, slow writers, clients that leave with much unread, and ids that come again.
 * Checks the answers to sound clients, what reaches the stores, and the memory of the process.
 */
public final class PeerSoakRun implements SeededRun {
    private static final int SHARDS = 4;
    private static final int SOCKETS = 1_024;
    private static final int SOUND_CLIENTS = 6;
    private static final long SOUND_PAUSE_MILLIS = 100;
    private static final long MAX_SOUND_DEADLINE_MILLIS = 955;
    private static final long OBJECTIVE_MILLIS = 500;
    private static final long MAX_STORE_MILLIS = 40;
    private static final int MAX_FLOODERS = 12;
    private static final int MAX_SLOW_CLIENTS = 500;
    private static final int MAX_LEAVING_CLIENTS = 6;
    private static final int MAX_LEAVING_READS = 10_000;
    private static final long MAX_STAY_MILLIS = 400;
    private static final int RETURNING_CLIENTS = 10;
    private static final long MIN_PEERS_MILLIS = 1_000;
    private static final int ADDED_PEERS_MILLIS = 3_000;
    private static final long REST_MILLIS = 300;
    private static final long MAX_AFTER_CLOSE_MILLIS = 100;

    /** Time between two threads of this program on a busy machine. */
    private static final long SLACK_MILLIS = 150;

    private final long seed;
    private final long lengthMillis;
    private final Random random;
    private final TestFleet fleet;
    private final List<LeavingClient> leaving = new CopyOnWriteArrayList<>();
    private final List<ReturningClient> returning = new CopyOnWriteArrayList<>();
    private final List<String> journal = new ArrayList<>();
    private GatewayProcess gateway;

    /**
     * Creates a run that has not started yet. Must be called from the root of a checkout.
     *
     * @param folder receives the configuration and the log
     */
    public PeerSoakRun(long seed, Path folder, long lengthMillis) throws IOException {
        this.seed = seed;
        this.lengthMillis = lengthMillis;
        this.random = new Random(seed);
        this.fleet = new TestFleet(folder, 1, SHARDS);
        fleet.setOptions(DeployedOptions.read());
        fleet.setSockets(SOCKETS);
        fleet.setTimes(OBJECTIVE_MILLIS, TestFleet.MAX_DEADLINE_MILLIS);
    }

    /** Executes the run and returns a description of each violation. */
    @Override
    public List<String> violations() throws IOException, InterruptedException {
        long storeMillis = 2L + random.nextInt((int) MAX_STORE_MILLIS);
        fleet.stores.forEach(store -> store.workMillis = storeMillis);
        journal.add("stores work " + storeMillis + " ms");
        gateway = fleet.start(0).awaitReady();
        ClientLoad sound =
                fleet.startLoad(
                        0,
                        SOUND_CLIENTS,
                        new ClientLoad.ClientBehaviour(
                                SOUND_PAUSE_MILLIS, MAX_SOUND_DEADLINE_MILLIS, 0),
                        seed);
        long startedAt = System.nanoTime();
        while (millisSince(startedAt) < lengthMillis) {
            runPeers();
            Thread.sleep(REST_MILLIS);
        }
        sound.stop();
        return checkRules();
    }

    /** Returns the drawn peers in their order. */
    @Override
    public String journalText() {
        return "seed " + seed + "\n  " + String.join("\n  ", journal);
    }

    /** Returns the number of requests of sound clients that were served. */
    @Override
    public long served() {
        return fleet.requests().stream()
                .filter(request -> request.end == Request.End.SERVED)
                .count();
    }

    private void runPeers() throws IOException, InterruptedException {
        long millis = MIN_PEERS_MILLIS + random.nextInt(ADDED_PEERS_MILLIS);
        switch (random.nextInt(5)) {
            case 0, 1 -> flood(millis);
            case 2 -> slowClients(millis);
            case 3 -> leavingClients(millis);
            default -> returningClients();
        }
    }

    private void flood(long millis) throws InterruptedException {
        FloodingClient.Kind[] kinds = FloodingClient.Kind.values();
        FloodingClient.Kind kind = kinds[random.nextInt(kinds.length)];
        int clients = 1 + random.nextInt(MAX_FLOODERS);
        boolean readsReplies = random.nextInt(3) > 0;
        journal.add(
                clients
                        + " flooders, "
                        + kind
                        + (readsReplies ? "" : ", replies not read")
                        + ", "
                        + millis
                        + " ms");
        List<FloodingClient> flooders = new ArrayList<>();
        for (int i = 0; i < clients; i++) {
            flooders.add(new FloodingClient(kind, fleet.listenAddress(0), SHARDS, readsReplies));
        }
        Thread.sleep(millis);
        flooders.forEach(FloodingClient::close);
    }

    private void slowClients(long millis) throws IOException, InterruptedException {
        SlowClients.Kind[] kinds = SlowClients.Kind.values();
        SlowClients.Kind kind = kinds[random.nextInt(kinds.length)];
        int clients = 1 + random.nextInt(MAX_SLOW_CLIENTS);
        journal.add(clients + " slow clients, " + kind + ", " + millis + " ms");
        SlowClients slow = new SlowClients(kind, fleet.listenAddress(0), clients);
        Thread.sleep(millis);
        slow.close();
    }

    private void leavingClients(long millis) throws IOException, InterruptedException {
        int clients = 1 + random.nextInt(MAX_LEAVING_CLIENTS);
        int reads = 1 + random.nextInt(MAX_LEAVING_READS);
        long stayMillis = random.nextInt((int) MAX_STAY_MILLIS);
        journal.add(
                clients + " clients leave after " + stayMillis + " ms with " + reads + " reads");
        List<LeavingClient> group = new ArrayList<>();
        for (int i = 0; i < clients; i++) {
            group.add(
                    new LeavingClient(
                            fleet.listenAddress(0), reads, SHARDS, TestFleet.MAX_DEADLINE_MILLIS));
        }
        Thread.sleep(stayMillis);
        group.forEach(LeavingClient::close);
        leaving.addAll(group);
        Thread.sleep(millis);
    }

    private void returningClients() throws IOException, InterruptedException {
        journal.add(RETURNING_CLIENTS + " clients come again with their id");
        for (int i = 0; i < RETURNING_CLIENTS; i++) {
            ReturningClient client =
                    new ReturningClient(
                            fleet.listenAddress(0),
                            returning.size(),
                            TestFleet.MAX_DEADLINE_MILLIS);
            returning.add(client);
            client.run(random.nextInt((int) MAX_STORE_MILLIS));
        }
    }

    private List<String> checkRules() throws IOException {
        List<StoreServer.Arrival> arrivals = fleet.arrivals();
        List<String> violations =
                new ArrayList<>(
                        new AnswerRule(List.of(), false).violations(arrivals, fleet.requests()));
        checkLeavingClients(arrivals, violations);
        checkReturningClients(arrivals, violations);
        if (!gateway.isAlive()) {
            violations.add("the gateway has ended: " + gateway.logText());
        } else if (gateway.peakMemoryKilobytes() > TestFleet.DEPLOYED_MEMORY_KILOBYTES) {
            violations.add("peak memory of " + gateway.peakMemoryKilobytes() + " kB");
        } else {
            journal.add("peak memory " + gateway.peakMemoryKilobytes() + " kB");
        }
        return violations;
    }

    private void checkLeavingClients(List<StoreServer.Arrival> arrivals, List<String> violations) {
        for (StoreServer.Arrival arrival : arrivals) {
            for (LeavingClient client : leaving) {
                long afterMillis =
                        TimeUnit.NANOSECONDS.toMillis(arrival.arrivedAt() - client.closedAt());
                if (afterMillis > MAX_AFTER_CLOSE_MILLIS + SLACK_MILLIS
                        && client.sent(arrival.requestId())) {
                    violations.add(
                            arrival.requestId()
                                    + " was sent "
                                    + afterMillis
                                    + " ms after its client left");
                }
            }
        }
    }

    private void checkReturningClients(
            List<StoreServer.Arrival> arrivals, List<String> violations) {
        Map<String, Integer> executions = new HashMap<>();
        for (StoreServer.Arrival arrival : arrivals) {
            executions.merge(arrival.requestId(), 1, Integer::sum);
        }
        for (ReturningClient client : returning) {
            if (executions.getOrDefault(client.id, 0) > 1) {
                violations.add(client.id + " was sent to a store twice");
            }
        }
    }

    private static long millisSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }

    @Override
    public void close() {
        leaving.forEach(LeavingClient::close);
        fleet.close();
    }
}
