package sagepulley.frontend.resp;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.SocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import sagepulley.config.resp.GatewayConfig;
import sagepulley.discovery.http.DiscoveryClient;
import sagepulley.engine.Clock;
import sagepulley.engine.DecisionSink;
import sagepulley.engine.GatewayEngine;
import sagepulley.logging.LogWriter;
import sagepulley.logging.RateLimitedLog;
import sagepulley.model.Attempt;
import sagepulley.model.Node;
import sagepulley.model.Operation;
import sagepulley.model.RoutingDecision;
import sagepulley.model.TrafficClass;
import sagepulley.transport.MemoryLimits;
import sagepulley.transport.Transport;
import sagepulley.upstream.resp.EndpointConnectionPool;

/**
 * Runs one RESP gateway. Composes the client listener, the endpoint connections, the discovery
 * client and the engine on one event loop, and starts and stops them.
 *
 * <p>Public methods may be called from any thread, except those of {@link DecisionSink}, which are
 * called on the event loop.
 */
public final class RespGateway implements DecisionSink {
    private static final long MAINTENANCE_INTERVAL_MILLIS = 200;
    private static final long REPORT_INTERVAL_MILLIS = 5_000;

    private static final long UNUSED_CHECK_INTERVAL_MILLIS = 25;

    /** Time for clients to read the last replies before the gateway stops. */
    private static final long STOP_DELAY_MILLIS = MAINTENANCE_INTERVAL_MILLIS / 2;

    /**
     * Fraction of the configured idle timeout after which idle endpoint connections are closed,
     * before the endpoint closes them.
     */
    private static final double IDLE_TIMEOUT_FRACTION = 0.4;

    /**
     * Fraction of the shortest latency objective for which a reply may stall, which leaves time for
     * another attempt.
     */
    private static final double STALL_TIMEOUT_FRACTION = 0.3;

    /**
     * Maximum wait for the first list before the gateway listens. It is shorter than the time after
     * which a change counts as notified, so that a list of this age is still current.
     */
    private static final long FIRST_LIST_TIMEOUT_MILLIS = 4_000;

    private final GatewayConfig config;
    private final Clock clock = new Clock();
    private final EventLoop loop;
    private final GatewayEngine engine;
    private final DueWorkScheduler dueWork;
    private final EndpointRegistry endpoints;
    private final EndpointConnectionPool connections;
    private final RequestHandler requests;
    private final AttemptDispatcher attempts;
    private final EndpointListHandler endpointLists;
    private final DiscoveryClient discovery;
    private final StateReporter reporter;
    private final ShutdownSchedule shutdownSchedule;
    private final GatewayMetrics metrics = new GatewayMetrics();
    private final RateLimitedLog eventLog = new RateLimitedLog(clock::now);
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private volatile int reloads;
    private boolean listening;
    private boolean stopping;

    /** Composes a gateway. No connection is opened before {@link #connectToDiscovery}. */
    public RespGateway(GatewayConfig config, Transport transport) {
        this.config = config;
        this.loop = transport.eventLoops().next();
        this.shutdownSchedule = ShutdownSchedule.of(maxDeadline(config));
        this.engine = new GatewayEngine(config.deployment(), config.seed(), this);
        this.dueWork = new DueWorkScheduler(loop, clock, engine);
        this.endpoints = new EndpointRegistry(config.zones(), config.kinds(), clock);
        SocketBudget sockets = SocketBudget.of(config.maxSockets());
        MemoryLimits memoryLimits = MemoryLimits.ofProcess(config.memoryMb());
        ClientMemory memory = new ClientMemory(memoryLimits, loop);
        this.requests =
                new RequestHandler(
                        config,
                        clock,
                        engine,
                        metrics,
                        eventLog,
                        memory,
                        endpoints::describeAttempts,
                        handler ->
                                new ClientListener(
                                        transport,
                                        sockets.forClients(),
                                        maxDeadline(config),
                                        memory,
                                        handler),
                        requestListener());
        this.connections =
                connectionPool(
                        transport, sockets.forEndpoints(), memoryLimits.endpointInputBytes());
        this.attempts =
                new AttemptDispatcher(
                        config.deployment(),
                        clock,
                        engine,
                        endpoints,
                        connections,
                        requests,
                        metrics,
                        eventLog,
                        dueWork::schedule);
        this.endpointLists = new EndpointListHandler(clock, engine, endpoints, dueWork::schedule);
        this.discovery =
                new DiscoveryClient(
                        transport,
                        config.discovery(),
                        config.initialEndpoints().revision(),
                        endpointLists,
                        memoryLimits.discoveryBytes(),
                        clock::now);
        this.reporter =
                new StateReporter(
                        clock, engine, metrics, requests, connections, endpoints, discovery);
    }

    private EndpointConnectionPool connectionPool(
            Transport transport, int maxConnections, long maxReplyBytes) {
        EndpointConnectionPool pool =
                new EndpointConnectionPool(
                        transport,
                        maxConnections,
                        config.connectTimeoutMillis(),
                        config.idleTimeoutMillis() * IDLE_TIMEOUT_FRACTION,
                        minLatencyObjective(config) * STALL_TIMEOUT_FRACTION,
                        maxReplyBytes,
                        clock::now);
        pool.setCloseListener(
                (address, reason) ->
                        eventLog.info(
                                "endpoint connection closed",
                                "address",
                                address,
                                "reason",
                                reason));
        return pool;
    }

    private RequestHandler.Listener requestListener() {
        return new RequestHandler.Listener() {
            @Override
            public void onEngineEvent() {
                dueWork.schedule();
            }

            @Override
            public void onCancelled(Operation operation) {
                attempts.cancelUnwritten(operation);
            }

            @Override
            public void onReplyOrClose() {
                stopIfDrained();
            }
        };
    }

    private static double minLatencyObjective(GatewayConfig config) {
        return config.deployment().trafficClasses().stream()
                .mapToDouble(TrafficClass::latencyObjective)
                .min()
                .orElse(0);
    }

    private static double maxDeadline(GatewayConfig config) {
        return config.deployment().trafficClasses().stream()
                .mapToDouble(TrafficClass::deadline)
                .max()
                .orElse(0);
    }

    /** Returns the time on the gateway's monotonic clock in milliseconds. */
    public double now() {
        return clock.now();
    }

    // ---- start ----

    /** Starts requesting the endpoint list. Clients cannot connect before {@link #start}. */
    public void connectToDiscovery() {
        loop.execute(
                () -> {
                    endpointLists.onEndpointList(config.initialEndpoints());
                    dueWork.runNow();
                    loop.schedule(
                            () -> endpointLists.firstList().complete(null),
                            FIRST_LIST_TIMEOUT_MILLIS,
                            TimeUnit.MILLISECONDS);
                });
    }

    /**
     * Listens once the first endpoint list has arrived or the wait for it has timed out. Requires
     * an earlier call of {@link #connectToDiscovery}.
     *
     * @return a future that completes with the address that clients can connect to
     */
    public CompletableFuture<SocketAddress> start() {
        CompletableFuture<SocketAddress> ready = new CompletableFuture<>();
        loop.execute(
                () -> {
                    runPeriodically(this::runMaintenance, MAINTENANCE_INTERVAL_MILLIS);
                    runPeriodically(reporter::report, REPORT_INTERVAL_MILLIS);
                    endpointLists.firstList().thenRun(() -> listen(ready));
                });
        return ready;
    }

    /** Runs a task at fixed intervals, also after it has failed. */
    private void runPeriodically(Runnable task, long intervalMillis) {
        loop.schedule(
                () -> {
                    try {
                        task.run();
                    } finally {
                        runPeriodically(task, intervalMillis);
                    }
                },
                intervalMillis,
                TimeUnit.MILLISECONDS);
    }

    private void listen(CompletableFuture<SocketAddress> ready) {
        if (stopping) {
            ready.complete(config.listen()); // never listened, so there is nothing to drain
            stopNow();
            return;
        }
        listening = true;
        ChannelFuture bound = requests.clients().listen(config.listen());
        bound.addListener(
                done -> {
                    if (done.isSuccess()) {
                        ready.complete(bound.channel().localAddress());
                    } else {
                        ready.completeExceptionally(done.cause());
                    }
                });
    }

    private void runMaintenance() {
        reporter.sampleLag(MAINTENANCE_INTERVAL_MILLIS);
        requests.clients().closeExpired();
        connections.closeExpired();
        stopIfDrained();
        metrics.addWaiting(engine.waitingByReason(clock.now()));
    }

    // ---- decisions of the engine ----

    @Override
    public void send(Attempt attempt, double timeout) {
        attempts.send(attempt, timeout);
    }

    @Override
    public void endUnserved(Operation operation, RoutingDecision decision) {
        requests.replyUnserved(operation, decision);
    }

    @Override
    public void cancel(Attempt attempt) {
        attempts.cancel(attempt);
    }

    @Override
    public void checkHealth(Node node) {
        attempts.checkHealth(node);
    }

    @Override
    public void openWatch() {
        discovery.openWatch();
    }

    @Override
    public void pollEndpointList() {
        discovery.poll();
    }

    @Override
    public void scheduleWakeUp(double delay, double now) {
        dueWork.wakeUpAt(now + delay);
    }

    // ---- configuration ----

    /** Returns the number of configurations applied since the start. */
    public int reloads() {
        return reloads;
    }

    /**
     * Returns the address of discovery in the configuration applied last. Other threads are
     * guaranteed to read the new address only once {@link #reloads} has counted that configuration.
     */
    public SocketAddress discoveryAddress() {
        return discovery.address();
    }

    /**
     * Records that a new configuration was notified at the given time. A few seconds after that
     * time, changes at discovery count as notified. A bounded lease of the endpoint list therefore
     * ends at most one drain grace later, however long the file takes to read, and is not renewed
     * before the configuration has been read or found invalid.
     */
    public void onReloadNotified(double notifiedAt) {
        loop.execute(
                () -> {
                    LogWriter.info(
                            "configuration reload requested",
                            "age-ms",
                            Math.round(clock.now() - notifiedAt));
                    engine.onReloadNotified(notifiedAt);
                });
    }

    /**
     * Applies a configuration whose reading began at the given time. Only a new discovery address
     * takes effect; other changes apply at the next start.
     */
    public void onConfigurationRead(GatewayConfig newConfig, double readAt) {
        loop.execute(
                () -> {
                    LogWriter.info(
                            "configuration reloaded",
                            "discovery",
                            newConfig.discovery(),
                            "duration-ms",
                            Math.round(clock.now() - readAt));
                    boolean moved = discovery.moveTo(newConfig.discovery());
                    engine.onConfigurationRead(readAt);
                    if (moved) {
                        engine.onDiscoveryMoved(clock.now());
                        dueWork.schedule();
                    }
                    reloads++;
                });
    }

    /**
     * Records that a configuration whose reading began at the given time is invalid. The previous
     * one stays in effect.
     */
    public void onConfigurationUnusable(double readAt) {
        loop.execute(() -> engine.onConfigurationRead(readAt));
    }

    // ---- stop ----

    /**
     * Starts a graceful shutdown: keeps serving for a while, then drains the connections and
     * replies to all operations in flight.
     */
    public void stop() {
        double signalledAt = clock.now();
        loop.execute(
                () -> {
                    if (stopping) {
                        return;
                    }
                    stopping = true;
                    if (listening) {
                        beginShutdown(signalledAt);
                    } else {
                        endpointLists.firstList().complete(null);
                    }
                });
    }

    private void beginShutdown(double signalledAt) {
        double failAt = shutdownSchedule.failAt(signalledAt);
        requests.limitDeadlines(failAt);
        double now = clock.now();
        requests.clients().disableIdleTimeout();
        LogWriter.info("graceful shutdown started", "in-flight", engine.inFlight().size());
        loop.schedule(
                () -> {
                    requests.clients().drainConnections();
                    stopOnceUnused(false);
                },
                (long) (shutdownSchedule.drainAt(signalledAt) - now),
                TimeUnit.MILLISECONDS);
        loop.schedule(this::failAll, (long) (failAt - now), TimeUnit.MILLISECONDS);
    }

    /**
     * Stops listening, and thereby the gateway, once two checks in a row find no client connected:
     * a command that crossed the end of its connection would have been sent again by then.
     */
    private void stopOnceUnused(boolean wasUnused) {
        boolean isUnused = requests.clients().connectionCount() == 0;
        if (isUnused && wasUnused) {
            requests.clients().drain();
        }
        stopIfDrained();
        if (!stopped.isDone()) {
            loop.schedule(
                    () -> stopOnceUnused(isUnused),
                    UNUSED_CHECK_INTERVAL_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void failAll() {
        requests.failAll();
        requests.clients().drainAndRejectPartialCommands();
        loop.schedule(this::stopNow, STOP_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void stopIfDrained() {
        if (stopping && requests.clients().isDrained() && !stopped.isDone()) {
            stopNow();
        }
    }

    /** Stops immediately, without waiting for operations in flight. */
    public void stopNow() {
        loop.execute(
                () -> {
                    LogWriter.info(
                            "stopped", "in-flight", engine.inFlight().size(), "counters", metrics);
                    requests.clients().drain();
                    discovery.close();
                    connections.close();
                    stopped.complete(null);
                });
    }

    /** Returns a future that completes once the gateway has stopped. */
    public CompletableFuture<Void> stopped() {
        return stopped;
    }
}
