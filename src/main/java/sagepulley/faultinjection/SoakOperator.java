package sagepulley.faultinjection;

import java.io.Closeable;
import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * Performs the actions of a soak run's plan on a fleet. Called on the run's thread; restarts of
 * gateways run in the background, one at a time for each gateway.
 */
final class SoakOperator implements SoakActions, Closeable {
    private static final int IDLE_CONNECTIONS_PER_GATEWAY = 130;
    private static final int CONNECT_TIMEOUT_MILLIS = 200;
    private static final String SUSPEND_SECONDS = "0.1";
    private static final int MAX_LOG_LINES = 15;
    private static final long MAX_RESTART_SECONDS = 10;
    private static final long PING_INTERVAL_MILLIS = 100;
    private static final long RESTART_POLL_MILLIS = 50;

    /** SIGKILL follows SIGTERM after the longest deadline plus this delay. */
    private static final long KILL_DELAY_MILLIS = 700;

    /** Time after SIGTERM during which clients still open new connections. */
    private static final long NEW_CONNECTIONS_MILLIS = 400;

    private final long seed;
    private final TestFleet fleet;
    private final SystemCallShim shim;
    private final Map<Integer, GatewayProcess> running = new ConcurrentHashMap<>();
    private final Set<Integer> restarting = ConcurrentHashMap.newKeySet();
    private final List<Socket> idleConnections = new CopyOnWriteArrayList<>();
    private final List<AnswerRule.Termination> terminations = new CopyOnWriteArrayList<>();
    private final List<String> failures = new CopyOnWriteArrayList<>();
    private long runStartedAt;

    /** Creates an operator of a fleet; the shim is null if system calls cannot be made to fail. */
    SoakOperator(long seed, TestFleet fleet, SystemCallShim shim) {
        this.seed = seed;
        this.fleet = fleet;
        this.shim = shim;
    }

    /** Starts a number of gateways and waits until they are ready. */
    void startGateways(int count) throws IOException, InterruptedException {
        for (int i = 0; i < count; i++) {
            running.put(i, fleet.start(i));
        }
        for (GatewayProcess gateway : running.values()) {
            gateway.awaitReady();
        }
        runStartedAt = System.nanoTime();
    }

    /** Returns the time at which all gateways were ready. */
    long runStartedAt() {
        return runStartedAt;
    }

    /** Returns the terminations of gateways by SIGKILL so far. */
    List<AnswerRule.Termination> terminations() {
        return terminations;
    }

    /** Returns a description of each gateway that crashed or did not restart. */
    List<String> failures() {
        return failures;
    }

    /** Returns whether idle connections may have used up the gateways' descriptors. */
    boolean openedIdleConnections() {
        return !idleConnections.isEmpty();
    }

    /** Returns the last lines of a gateway's log. */
    String logTail(int gateway) {
        return logTail(running.get(gateway));
    }

    /** Waits until no gateway is being restarted. */
    void awaitRestarts() throws InterruptedException {
        while (!restarting.isEmpty()) {
            Thread.sleep(RESTART_POLL_MILLIS);
        }
    }

    // ---- discovery ----

    @Override
    public void setDiscoveryBehaviour(DiscoveryBehaviour behaviour, boolean resetWatches) {
        fleet.discovery.behaviour = behaviour;
        if (resetWatches) {
            fleet.discovery.resetConnections();
        }
    }

    @Override
    public void setWatchesSilent(boolean silent) {
        fleet.discovery.watchesSilent = silent;
    }

    @Override
    public void stopDiscovery() {
        fleet.discovery.stop();
    }

    @Override
    public void cutOffDiscovery() throws IOException {
        fleet.discovery.cutOff();
    }

    @Override
    public void restoreDiscovery() throws IOException {
        fleet.discovery.restore();
    }

    // ---- stores ----

    @Override
    public void listStore(int store, Endpoint.State state) {
        long startedAt = state == Endpoint.State.SERVING ? System.currentTimeMillis() : 0;
        fleet.discovery.endpoints.set(fleet.stores.get(store).endpoint(state, startedAt));
    }

    @Override
    public void setStoreUnresponsive(int store, boolean unresponsive) {
        fleet.stores.get(store).unresponsive = unresponsive;
    }

    @Override
    public void resetStore(int store) {
        fleet.stores.get(store).resetConnections();
    }

    // ---- gateways ----

    @Override
    public void restartGateway(int gateway, boolean planned) {
        if (!restarting.add(gateway)) {
            return; // a restart is already in progress
        }
        BackgroundTasks.run(
                "operator",
                () -> {
                    try {
                        restart(gateway, planned);
                    } finally {
                        restarting.remove(gateway);
                    }
                });
    }

    @Override
    public void moveDiscovery(int gateway) throws IOException, InterruptedException {
        if (!restarting.contains(gateway)) {
            fleet.moveDiscovery(running.get(gateway));
        }
    }

    @Override
    public void moveDiscoveryWithUnreadableConfig(int gateway)
            throws IOException, InterruptedException {
        if (!restarting.contains(gateway)) {
            fleet.moveDiscovery(gateway);
            fleet.makeConfigUnreadable(gateway);
            fleet.signalReload(running.get(gateway));
        }
    }

    @Override
    public void restoreConfig(int gateway) throws IOException {
        if (!restarting.contains(gateway)) {
            fleet.writeConfig(gateway);
        }
    }

    @Override
    public void suspendGateway(int gateway) throws IOException, InterruptedException {
        GatewayProcess process = running.get(gateway);
        if (process.isAlive()) {
            process.suspend(SUSPEND_SECONDS);
        }
    }

    @Override
    public void setWallClockOffset(long millis) throws IOException {
        shim.setWallClockOffset(millis);
    }

    @Override
    public void openIdleConnections() {
        for (GatewayProcess process : running.values()) {
            for (int i = 0; i < IDLE_CONNECTIONS_PER_GATEWAY; i++) {
                try {
                    Socket idle = new Socket();
                    idleConnections.add(idle);
                    idle.connect(process.listen, CONNECT_TIMEOUT_MILLIS);
                } catch (IOException full) {
                    break;
                }
            }
        }
    }

    /**
     * Sends SIGKILL, after SIGTERM and the shortest permitted delay if planned, and starts the
     * gateway again.
     */
    private void restart(int gateway, boolean planned) throws IOException, InterruptedException {
        GatewayProcess process = running.get(gateway);
        long termSentAt = 0;
        if (!process.isAlive()) {
            failures.add("gateway " + gateway + " has crashed: " + logTail(process));
        } else if (planned) {
            termSentAt = System.nanoTime();
            terminate(gateway, process, termSentAt);
        }
        long killSentAt = System.nanoTime();
        process.kill();
        terminations.add(
                new AnswerRule.Termination(gateway, termSentAt, killSentAt, System.nanoTime()));
        GatewayProcess replacement = fleet.start(gateway);
        running.put(gateway, replacement);
        fleet.loads.get(gateway).suspendNewConnections(false);
        awaitPing(gateway, replacement);
    }

    private void terminate(int gateway, GatewayProcess process, long termSentAt)
            throws IOException, InterruptedException {
        process.signal("TERM");
        if (random(gateway).nextInt(3) == 0) {
            process.signal("TERM");
        }
        Thread.sleep(NEW_CONNECTIONS_MILLIS);
        fleet.loads.get(gateway).suspendNewConnections(true);
        long killAfter = TestFleet.MAX_DEADLINE_MILLIS + KILL_DELAY_MILLIS;
        Thread.sleep(Math.max(0, killAfter - millisSince(termSentAt)));
    }

    private void awaitPing(int gateway, GatewayProcess replacement) throws InterruptedException {
        long since = System.nanoTime();
        while (!replacement.answersPing()) {
            if (TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - since) > MAX_RESTART_SECONDS) {
                failures.add(
                        "gateway "
                                + gateway
                                + " is not ready "
                                + MAX_RESTART_SECONDS
                                + " s after its restart: "
                                + logTail(replacement));
                return;
            }
            Thread.sleep(PING_INTERVAL_MILLIS);
        }
    }

    private Random random(int gateway) {
        return new Random(seed * 31 + gateway + millisSince(runStartedAt) / 1_000);
    }

    private static long millisSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }

    private static String logTail(GatewayProcess process) {
        List<String> lines = process.logText().lines().toList();
        int first = Math.max(0, lines.size() - MAX_LOG_LINES);
        return String.join("\n", lines.subList(first, lines.size()));
    }

    @Override
    public void close() {
        idleConnections.forEach(BackgroundTasks::close);
    }
}
