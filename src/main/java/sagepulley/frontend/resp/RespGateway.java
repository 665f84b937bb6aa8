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
import sagepulley.transport.Transport;
import sagepulley.upstream.resp.EndpointConnectionPool;

/**
 * One RESP gateway: clients, endpoints and discovery round the engine, on one event loop. Composes
 * the parts, carries the engine's decisions to them, and starts and stops them. Its public methods
 * may be called from any thread; those of {@link DecisionSink} are called on the loop.
 */
public final class RespGateway implements DecisionSink {
    private static final long MAINTENANCE_INTERVAL_MILLIS = 200;
    private static final long REPORT_INTERVAL_MILLIS = 5_000;

    /** Clients still connected after the last operation failed have this long to read. */
    private static final long STOP_DELAY_MILLIS = MAINTENANCE_INTERVAL_MILLIS / 2;

    /** Endpoints close idle connections after the configured time; the gateway closes sooner. */
    private static final double IDLE_TIMEOUT_FRACTION = 0.4;

    /**
     * A reply may pause for this part of the shortest latency objective, which leaves time for
     * another attempt.
     */
    private static final double STALL_TIMEOUT_FRACTION = 0.3;

    /** The part of the memory that commands in flight may take. */
    private static final double COMMAND_MEMORY_FRACTION = 0.1;

    private static final int BYTES_PER_MB = 1 << 20;

    /**
     * How long serving waits for the first list. Within the time in which a change counts as
     * notified, so that a list this old is still current.
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

    /** Composes a gateway; nothing is opened before {@link #connectToDiscovery}. */
    public RespGateway(GatewayConfig config, Transport transport) {
        this.config = config;
        this.loop = transport.eventLoops().next();
        this.shutdownSchedule = ShutdownSchedule.of(maxDeadline(config));
        this.engine = new GatewayEngine(config.deployment(), config.seed(), this);
        this.dueWork = new DueWorkScheduler(loop, clock, engine);
        this.endpoints = new EndpointRegistry(config.zones(), config.kinds(), clock);
        SocketBudget sockets = SocketBudget.of(config.maxSockets());
        this.requests =
                new RequestHandler(
                        config,
                        clock,
                        engine,
                        metrics,
                        eventLog,
                        (long) (config.memoryMb() * BYTES_PER_MB * COMMAND_MEMORY_FRACTION),
                        endpoints::describeAttempts,
                        handler ->
                                new ClientListener(
                                        transport,
                                        sockets.forClients(),
                                        maxDeadline(config),
                                        handler),
                        requestListener());
        this.connections = connectionPool(transport, sockets.forEndpoints());
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
                        clock::now);
        this.reporter =
                new StateReporter(
                        clock, engine, metrics, requests, connections, endpoints, discovery);
    }

    private EndpointConnectionPool connectionPool(Transport transport, int maxConnections) {
        EndpointConnectionPool pool =
                new EndpointConnectionPool(
                        transport,
                        maxConnections,
                        config.connectTimeoutMillis(),
                        config.idleTimeoutMillis() * IDLE_TIMEOUT_FRACTION,
                        minLatencyObjective(config) * STALL_TIMEOUT_FRACTION,
                        clock::now);
        pool.onClose(
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

    /** Milliseconds of the gateway's own clock, which only moves forward. */
    public double now() {
        return clock.now();
    }

    // ---- start ----

    /** Requests the endpoint list, and listens for nobody yet. */
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
     * Listens once the first endpoint list is there or has timed out; {@link #connectToDiscovery}
     * has been called. Completes with the address that clients can connect to.
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

    private void runPeriodically(Runnable task, long intervalMillis) {
        loop.scheduleWithFixedDelay(task, intervalMillis, intervalMillis, TimeUnit.MILLISECONDS);
    }

    private void listen(CompletableFuture<SocketAddress> ready) {
        if (stopping) {
            ready.complete(config.listen()); // no client has learned that the gateway is there
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

    // ---- the engine's decisions ----

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
    public void scheduleWakeUp(double pause, double now) {
        dueWork.wakeUpAt(now + pause);
    }

    // ---- configuration ----

    /** How many configurations have been read since the start. */
    public int reloads() {
        return reloads;
    }

    /** Where discovery is by the last configuration that was read. */
    public SocketAddress discoveryAddress() {
        return discovery.address();
    }

    /**
     * A new configuration was announced at a time. Discovery's list counts as notified some seconds
     * after that, however long the file takes to read.
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
     * A configuration whose reading began at a time: discovery moves; what else differs applies
     * from the next start on.
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

    /** A configuration whose reading began at a time is invalid: the last one stays. */
    public void onConfigurationUnusable(double readAt) {
        loop.execute(() -> engine.onConfigurationRead(readAt));
    }

    // ---- stop ----

    /** Begins a graceful shutdown: serves on for a while, then replies to what is in flight. */
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
                    requests.clients().drain();
                    stopIfDrained();
                },
                (long) (shutdownSchedule.drainAt(signalledAt) - now),
                TimeUnit.MILLISECONDS);
        loop.schedule(this::failAll, (long) (failAt - now), TimeUnit.MILLISECONDS);
    }

    private void failAll() {
        requests.failAll();
        loop.schedule(this::stopNow, STOP_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void stopIfDrained() {
        if (stopping && requests.clients().isDrained() && !stopped.isDone()) {
            stopNow();
        }
    }

    /** Stops without waiting for anybody. */
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

    /** Completes once the gateway has stopped, with a reply to all that it accepted. */
    public CompletableFuture<Void> stopped() {
        return stopped;
    }
}
