package sagepulley.platform;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import sagepulley.codec.frame.EventLoopTimer;
import sagepulley.codec.resp.Resp;
import sagepulley.codec.resp.RespEncoder;
import sagepulley.engine.Clock;
import sagepulley.engine.DecisionSink;
import sagepulley.engine.GatewayEngine;
import sagepulley.model.Attempt;
import sagepulley.model.Node;
import sagepulley.model.Operation;
import sagepulley.model.Outcome;
import sagepulley.model.RoutingDecision;
import sagepulley.model.TrafficClass;
import sagepulley.model.Volume;
import sagepulley.scheduler.EndpointView;

/**
 * One gateway on the platform: clients, nodes and discovery on one event loop, round the host of
 * Scheduler. It tells the host what happens and carries out what comes back.
 */
final class RespGateway
        implements DecisionSink, ClientConnection.Handler, DiscoveryClient.Listener {
    private static final long SWEEP_MS = 200;
    private static final long REPORT_MS = 5_000;

    /**
     * SIGKILL comes no sooner after SIGTERM than the longest patience, at most this, and a little
     * more. Clients go on using the connections that they have, and find nobody else: they are
     * served for as long as that.
     */
    private static final double LONGEST_STOP = 3_000;

    private static final double KILL_AFTER = 700;

    /**
     * Before that, by so much, all is answered, and before that, by so much, nothing more is taken.
     * A process may be held up for 0.15 s at each of the two moments.
     */
    private static final double ANSWERED_BEFORE = 350;

    private static final double LAST_TAKEN = 250;

    /** The part of the idle time told after which a free connection to a node is closed. */
    private static final double IDLE_PART = 0.4;

    /**
     * The part of the shortest target time that an answer may pause inside: it leaves time for
     * another attempt.
     */
    private static final double STALL_PART = 0.3;

    /** Descriptors: some for the program itself, and of the rest this part for clients. */
    private static final int OWN_SOCKETS = 40;

    private static final double CLIENT_PART = 0.7;

    /** The part of the memory that clients' bytes in hand may take. */
    private static final double BYTES_PART = 0.1;

    private static final double PROBE_TIMEOUT = 250;

    /**
     * A first list is waited for so long, while nobody is served: what could be had 6 s ago counts
     * as told from the first moment. A fleet's first calls come within 2.5 s, and a call waits for
     * a second or two.
     */
    private static final long FIRST_LIST_MS = 4_000;

    private final GatewayConfig config;
    private final Clock clock = new Clock();
    private final EventLoop loop;
    private final EventLoopTimer wakeUpTimer;
    private final GatewayEngine engine;
    private final EndpointRegistry endpoints;
    private final ClientListener clients;
    private final EndpointConnectionPool connections;
    private final DiscoveryClient discovery;
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private final GatewayMetrics metrics = new GatewayMetrics();
    private final KernelReceiveTime receiveTime = new KernelReceiveTime();
    private final RateLimitedLog eventLog = new RateLimitedLog(clock::now);
    private final long maxBytesInFlight;
    private long bytesInFlight;
    private boolean dueWorkScheduled;
    private double sweepDueAt = Double.POSITIVE_INFINITY;
    private double maxLagMillis;
    private volatile int reloads;
    private boolean listening;
    private boolean stopping;

    /**
     * Completes with the first list that discovery tells, or when it has been waited for long
     * enough.
     */
    private final CompletableFuture<Void> firstList = new CompletableFuture<>();

    private double stopAt = Double.POSITIVE_INFINITY;

    /** What is kept of an operation in hand: its command, and where its answer goes. */
    private record Held(BlockCommand command, ClientConnection.PendingReply pendingReply) {}

    RespGateway(GatewayConfig config, Transport transport) {
        this.loop = transport.eventLoops().next();
        this.wakeUpTimer = new EventLoopTimer(loop, clock::now, this::runDueWork);
        this.config = config;
        this.engine = new GatewayEngine(config.deployment(), config.seed(), this);
        this.endpoints = new EndpointRegistry(config.zones(), config.kinds(), clock);
        int sockets = config.maxSockets() - OWN_SOCKETS;
        int clients = (int) (sockets * CLIENT_PART);
        this.clients = new ClientListener(transport, clients, maxDeadline(config), this);
        this.connections =
                new EndpointConnectionPool(
                        transport,
                        sockets - clients,
                        config.connectTimeoutMillis(),
                        config.idleTimeoutMillis() * IDLE_PART,
                        minLatencyObjective(config) * STALL_PART,
                        clock::now);
        this.connections.onClose(
                (address, why) ->
                        eventLog.info(
                                "endpoint connection closed", "address", address, "why", why));
        this.discovery =
                new DiscoveryClient(
                        transport,
                        config.discovery(),
                        config.initialEndpoints().revision(),
                        this,
                        clock::now);
        this.maxBytesInFlight = (long) (config.memoryMb() * (1 << 20) * BYTES_PART);
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

    /** Asks for the list, and nothing else yet. */
    void connectToDiscovery() {
        loop.execute(
                () -> {
                    onEndpointList(config.initialEndpoints());
                    runDueWork();
                    loop.schedule(
                            () -> firstList.complete(null), FIRST_LIST_MS, TimeUnit.MILLISECONDS);
                });
    }

    /** Completes with the address once clients can connect there; it has begun. */
    CompletableFuture<SocketAddress> start() {
        CompletableFuture<SocketAddress> ready = new CompletableFuture<>();
        loop.execute(
                () -> {
                    loop.scheduleWithFixedDelay(
                            this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
                    loop.scheduleWithFixedDelay(
                            this::report, REPORT_MS, REPORT_MS, TimeUnit.MILLISECONDS);
                    firstList.thenRun(() -> listen(ready));
                });
        return ready;
    }

    private void listen(CompletableFuture<SocketAddress> ready) {
        if (stopping) {
            ready.complete(config.listen()); // nobody was told that it is there
            stopNow();
            return;
        }
        listening = true;
        ChannelFuture bound = clients.listen(config.listen());
        bound.addListener(
                done -> {
                    if (done.isSuccess()) {
                        ready.complete(bound.channel().localAddress());
                    } else {
                        ready.completeExceptionally(done.cause());
                    }
                });
    }

    /** Completes once the gateway has stopped, with all that it took answered. */
    CompletableFuture<Void> stopped() {
        return stopped;
    }

    @Override
    public double now() {
        return clock.now();
    }

    // ---- clients ----

    @Override
    public void onRequest(
            ClientConnection connection,
            ClientConnection.PendingReply pendingReply,
            List<byte[]> words) {
        double now = clock.now();
        BlockCommand command;
        try {
            command = BlockCommand.parse(words, config.deployment());
            if (engine.operation(command.id) != null) {
                throw new BadCommandException("an operation with this id is in hand");
            }
        } catch (BadCommandException bad) {
            metrics.invalidCommands++;
            pendingReply.reply(RespEncoder.error("ERR " + bad.getMessage()));
            return;
        }
        connection.hasSentCommand = true;
        if (connection.isDraining() || clients.isDraining()) {
            eventLog.info(
                    "request refused", "id", NumberParser.formatId(command.id), "why", "STOPPING");
            pendingReply.reply(RespEncoder.error("BUSY"));
            return;
        }
        if (bytesInFlight + command.sizeBytes() > maxBytesInFlight
                || engine.inFlight().size() >= config.maxInFlight()) {
            metrics.rejectedAtCapacity++;
            eventLog.info(
                    "request refused", "id", NumberParser.formatId(command.id), "why", "NO_ROOM");
            pendingReply.reply(RespEncoder.error("BUSY"));
            return;
        }
        bytesInFlight += command.sizeBytes();
        metrics.accepted++;
        Volume volume = engine.volume(command.volume, command.plan.index());
        volume.gatewayCount = command.gatewayCount;
        double cameAt = now - connection.millisSinceReceived(receiveTime);
        double deadline = Math.min(cameAt + command.deadlineMillis, Math.max(now + 1, stopAt));
        Operation operation =
                new Operation(
                        command.id,
                        command.trafficClass,
                        volume,
                        command.extent,
                        command.units,
                        command.shard,
                        cameAt,
                        deadline,
                        command.clientRetry);
        operation.engineState = new Held(command, pendingReply);
        pendingReply.attachment = operation;
        engine.onArrival(operation);
        scheduleDueWork();
    }

    @Override
    public void onClientCancelled(ClientConnection.PendingReply pendingReply) {
        Operation operation = (Operation) pendingReply.attachment;
        pendingReply.attachment = null;
        metrics.cancelled++;
        release(operation);
        engine.onClientCancelled(operation.id, clock.now());
        operation.attempts.forEach(connections::cancelUnwritten);
        scheduleDueWork();
    }

    @Override
    public void onClosed(ClientConnection connection) {
        if (connection.closeReason() != null) {
            eventLog.info(
                    "client connection closed",
                    "why",
                    connection.closeReason(),
                    "age-ms",
                    Math.round(clock.now() - connection.connectedAt),
                    "asked",
                    connection.hasSentCommand);
        }
        clients.remove(connection);
        checkEnd();
    }

    @Override
    public void endUnserved(Operation operation, RoutingDecision decision) {
        boolean declined = decision.kind() == RoutingDecision.Kind.REJECT;
        eventLog.info(
                declined ? "request refused" : "request failed",
                "id",
                NumberParser.formatId(operation.id),
                "band",
                operation.trafficClass.name(),
                "why",
                decision.reason(),
                "after-ms",
                Math.round(clock.now() - operation.arrivedAt),
                "attempts",
                attempts(operation));
        metrics.onUnserved(operation.trafficClass, decision.reason());
        if (!declined) {
            answer(operation, RespEncoder.error("ERR failed"));
        } else if (decision.retryAfter() > 0) {
            answer(operation, RespEncoder.error("BUSY " + (long) Math.ceil(decision.retryAfter())));
        } else {
            answer(operation, RespEncoder.error("BUSY"));
        }
    }

    /** Where an operation was sent and how that ended, for the log. */
    private String attempts(Operation operation) {
        StringBuilder text = new StringBuilder();
        for (Attempt attempt : operation.attempts) {
            text.append(text.isEmpty() ? "" : ",")
                    .append(endpoints.name(attempt.node))
                    .append(':')
                    .append(attempt.outcome == null ? "OUT" : attempt.outcome);
        }
        return text.toString();
    }

    private void answer(Operation operation, ByteBuf bytes) {
        Held held = release(operation);
        held.pendingReply().reply(bytes);
        checkEnd();
    }

    private Held release(Operation operation) {
        Held held = (Held) operation.engineState;
        operation.engineState = null;
        bytesInFlight -= held.command().sizeBytes();
        return held;
    }

    // ---- nodes ----

    @Override
    public void send(Attempt attempt, double timeout) {
        metrics.attempts++;
        if (attempt.number > 0) {
            eventLog.info(
                    "request retried",
                    "id",
                    NumberParser.formatId(attempt.operation.id),
                    "attempts",
                    attempts(attempt.operation));
        }
        SocketAddress address = endpoints.address(attempt.node);
        BlockCommand command = ((Held) attempt.operation.engineState).command();
        connections.send(
                attempt,
                address,
                left -> engine.mayStart(attempt, clock.now()) ? command.withTimeout(left) : null,
                timeout,
                (outcome, answer, at) -> attemptEnded(attempt, outcome, answer, at));
    }

    private void attemptEnded(Attempt attempt, Outcome outcome, Resp answer, double at) {
        double now = clock.now();
        attempt.outcome = outcome;
        attempt.duration = at - attempt.sentAt;
        metrics.onAttemptEnded(outcome, attempt.node);
        EndpointResponse.recordIn(attempt, answer, config.deployment().reportFields());
        boolean settled = attempt.operation.ended;
        if (outcome == Outcome.SERVED && !settled) {
            settled = true;
            metrics.onServed(attempt.operation, now);
            attempt.operation.ended = true;
            answer(attempt.operation, RespEncoder.bulk(EndpointResponse.value(answer)));
        }
        engine.onAttemptEnded(attempt, settled, now);
        scheduleDueWork();
    }

    @Override
    public void cancel(Attempt attempt) {
        connections.cancel(attempt);
    }

    @Override
    public void checkHealth(Node node) {
        boolean load = !config.deployment().reportFields().isEmpty();
        List<byte[]> words =
                (load ? List.of("INFO", "load") : List.of("PING"))
                        .stream().map(word -> word.getBytes(StandardCharsets.US_ASCII)).toList();
        double sentAt = clock.now();
        connections.sendHealthCheck(
                endpoints.address(node),
                words,
                PROBE_TIMEOUT,
                (outcome, answer, at) -> {
                    boolean well =
                            (answer instanceof Resp.Bulk bulk && !bulk.isNull())
                                    || (answer instanceof Resp.Line line && !line.isError());
                    double[] report =
                            answer instanceof Resp.Bulk bulk
                                    ? EndpointResponse.parseReport(
                                            bulk, config.deployment().reportFields())
                                    : null;
                    engine.onHealthCheck(
                            node.id,
                            well ? Outcome.SERVED : outcome,
                            at - sentAt,
                            report,
                            clock.now());
                    scheduleDueWork();
                });
    }

    // ---- discovery ----

    @Override
    public void openWatch() {
        discovery.openWatch();
    }

    @Override
    public void pollEndpointList() {
        discovery.poll();
    }

    @Override
    public void onEndpointList(EndpointListUpdate listing) {
        LogWriter.info(
                "list of nodes",
                "revision",
                listing.revision(),
                "whole",
                listing.complete(),
                "entries",
                listing.members().size());
        List<String> changes = endpoints.changes(listing, engine::node);
        if (!changes.isEmpty()) {
            LogWriter.info("endpoint states", "revision", listing.revision(), "changes", changes);
        }
        for (String entry : listing.unreadable()) {
            LogWriter.warn("an entry of the list cannot be read", "entry", entry);
        }
        engine.onEndpointList(endpoints.entries(listing), listing.complete(), clock.now())
                .forEach(endpoints::remove);
        scheduleDueWork();
    }

    @Override
    public void onListConfirmed(double asOf) {
        engine.onListConfirmed(asOf);
        firstList.complete(null);
        scheduleDueWork();
    }

    @Override
    public void onDiscoveryUnreachable(double at) {
        engine.onDiscoveryUnreachable(at);
    }

    @Override
    public void onPollFailed(String why) {
        LogWriter.warn("the list of nodes failed", "why", why);
        engine.onPollFailed(clock.now());
        scheduleDueWork();
    }

    // ---- what is due ----

    /** Asks what is due, once for all that one turn of the loop brought. */
    private void scheduleDueWork() {
        if (!dueWorkScheduled) {
            dueWorkScheduled = true;
            loop.execute(
                    () -> {
                        dueWorkScheduled = false;
                        runDueWork();
                    });
        }
    }

    private void runDueWork() {
        engine.runDueWork(clock.now());
    }

    @Override
    public void scheduleWakeUp(double pause, double now) {
        wakeUpTimer.by(now + pause);
    }

    private void sweep() {
        double late = clock.now() - sweepDueAt;
        sweepDueAt = clock.now() + SWEEP_MS;
        maxLagMillis = Math.max(maxLagMillis, late);
        clients.closeExpired();
        connections.closeExpired();
        checkEnd();
        double now = clock.now();
        metrics.waits(engine.waitingByReason(now));
    }

    private void report() {
        Runtime runtime = Runtime.getRuntime();
        LogWriter.info(
                "state",
                "in-hand",
                engine.inFlight().size(),
                "bytes",
                bytesInFlight,
                "hops-out",
                connections.attemptsInFlight(),
                "node-connections",
                connections.openConnections(),
                "opened",
                connections.opened,
                "no-room-for-hop",
                connections.rejectedAtLimit,
                "found-spent",
                connections.staleConnections,
                "spoilt",
                connections.invalidResponses,
                "clients",
                clients.connectionCount(),
                "accepted",
                clients.accepted,
                "turned-away",
                clients.rejected,
                "revision",
                discovery.revision(),
                "watching",
                discovery.isWatching(),
                "lag-ms",
                Math.round(maxLagMillis),
                "heap-kb",
                (runtime.totalMemory() - runtime.freeMemory()) >> 10,
                "counts",
                metrics,
                "bands",
                engine.trafficClassViews());
        maxLagMillis = 0;
        for (Node node : engine.nodes()) {
            Map<Outcome, Integer> ended = metrics.lately(node);
            if (node.phase != Node.Phase.REMOVED || !ended.isEmpty()) {
                LogWriter.info(
                        "node",
                        "id",
                        endpoints.name(node),
                        "standing",
                        node.phase,
                        "cell",
                        node.cell,
                        "view",
                        EndpointView.of(node),
                        "ended",
                        ended,
                        "connections",
                        connections.openConnections(endpoints.address(node)));
            }
        }
    }

    // ---- signals ----

    /** How many configurations were read anew, and where discovery is by the last of them. */
    int reloads() {
        return reloads;
    }

    SocketAddress discoveryAddress() {
        return discovery.address();
    }

    /**
     * A new configuration was told at a time. What discovery has counts as notified some seconds
     * after that, however long the file takes to read.
     */
    void onReloadNotified(double toldAt) {
        loop.execute(
                () -> {
                    LogWriter.info(
                            "a new configuration is told",
                            "ago-ms",
                            Math.round(clock.now() - toldAt));
                    engine.onReloadNotified(toldAt);
                });
    }

    /**
     * The file was read, beginning at a time: discovery moves; what else differs holds from the
     * next start on.
     */
    void onConfigurationRead(GatewayConfig fresh, double readAt) {
        loop.execute(
                () -> {
                    LogWriter.info(
                            "configuration read anew",
                            "discovery",
                            fresh.discovery(),
                            "after-ms",
                            Math.round(clock.now() - readAt));
                    boolean moved = discovery.moveTo(fresh.discovery());
                    engine.onConfigurationRead(readAt);
                    if (moved) {
                        engine.onDiscoveryMoved(clock.now());
                        scheduleDueWork();
                    }
                    reloads++;
                });
    }

    /** The file was read, beginning at a time, and cannot be used: all stays as it was. */
    void onConfigurationUnusable(double readAt) {
        loop.execute(() -> engine.onConfigurationRead(readAt));
    }

    /** Goes on serving while clients still come, then answers what it has and ends. */
    void stop() {
        double toldAt = clock.now();
        loop.execute(
                () -> {
                    if (stopping) {
                        return;
                    }
                    stopping = true;
                    if (!listening) {
                        firstList.complete(null);
                        return;
                    }
                    double left =
                            Math.min(maxDeadline(config), LONGEST_STOP)
                                    + KILL_AFTER
                                    - ANSWERED_BEFORE;
                    stopAt = toldAt + left;
                    double now = clock.now();
                    clients.keepIdleConnections();
                    LogWriter.info("stopping", "in-hand", engine.inFlight().size());
                    loop.schedule(
                            () -> {
                                clients.drain();
                                checkEnd();
                            },
                            (long) (stopAt - LAST_TAKEN - now),
                            TimeUnit.MILLISECONDS);
                    loop.schedule(this::giveUpAll, (long) (stopAt - now), TimeUnit.MILLISECONDS);
                });
    }

    /** The time is up: whatever is still in hand gets the answer that promises nothing. */
    private void giveUpAll() {
        for (Operation operation : new ArrayList<>(engine.inFlight())) {
            if (operation.engineState != null) {
                eventLog.info(
                        "request failed",
                        "id",
                        NumberParser.formatId(operation.id),
                        "why",
                        "STOPPING",
                        "attempts",
                        attempts(operation));
                answer(operation, RespEncoder.error("ERR the gateway stops"));
                engine.onClientCancelled(operation.id, clock.now());
            }
        }
        loop.schedule(this::stopNow, SWEEP_MS / 2, TimeUnit.MILLISECONDS);
    }

    private void checkEnd() {
        if (stopping && clients.isDrained() && !stopped.isDone()) {
            stopNow();
        }
    }

    /** Ends at once. */
    void stopNow() {
        loop.execute(
                () -> {
                    LogWriter.info(
                            "stopped", "in-hand", engine.inFlight().size(), "counts", metrics);
                    clients.drain();
                    discovery.close();
                    connections.close();
                    stopped.complete(null);
                });
    }
}
