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
import sagepulley.codec.resp.RespBytes;
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
final class RespGateway implements DecisionSink, ClientConnection.Owner, DiscoveryClient.Owner {
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

    private final Config config;
    private final Clock clock = new Clock();
    private final EventLoop loop;
    private final EventLoopTimer alarm;
    private final GatewayEngine engine;
    private final EndpointRegistry book;
    private final ClientListener front;
    private final EndpointConnectionPool nodes;
    private final DiscoveryClient discovery;
    private final CompletableFuture<Void> ended = new CompletableFuture<>();
    private final GatewayMetrics counts = new GatewayMetrics();
    private final KernelReceiveTime arrival = new KernelReceiveTime();
    private final RateLimitedLog events = new RateLimitedLog(clock::now);
    private final long mostBytes;
    private long bytesInHand;
    private boolean settleDue;
    private double sweepDue = Double.POSITIVE_INFINITY;
    private double worstLag;
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
    private record Held(BlockCommand command, ClientConnection.Slot slot) {}

    RespGateway(Config config, Transport transport) {
        this.loop = transport.loops().next();
        this.alarm = new EventLoopTimer(loop, clock::now, this::settleNow);
        this.config = config;
        this.engine = new GatewayEngine(config.deployment(), config.seed(), this);
        this.book = new EndpointRegistry(config.zones(), config.kinds(), clock);
        int sockets = config.sockets() - OWN_SOCKETS;
        int clients = (int) (sockets * CLIENT_PART);
        this.front = new ClientListener(transport, clients, longestPatience(config), this);
        this.nodes =
                new EndpointConnectionPool(
                        transport,
                        sockets - clients,
                        config.connectTimeout(),
                        config.idleTime() * IDLE_PART,
                        shortestTarget(config) * STALL_PART,
                        clock::now);
        this.nodes.onClose(
                (address, why) ->
                        events.line("endpoint connection closed", "address", address, "why", why));
        this.discovery =
                new DiscoveryClient(
                        transport, config.discovery(), config.known().revision(), this, clock::now);
        this.mostBytes = (long) (config.memoryMb() * (1 << 20) * BYTES_PART);
    }

    private static double shortestTarget(Config config) {
        return config.deployment().trafficClasses().stream()
                .mapToDouble(TrafficClass::latencyObjective)
                .min()
                .orElse(0);
    }

    private static double longestPatience(Config config) {
        return config.deployment().trafficClasses().stream()
                .mapToDouble(TrafficClass::deadline)
                .max()
                .orElse(0);
    }

    /** Asks for the list, and nothing else yet. */
    void begin() {
        loop.execute(
                () -> {
                    listed(config.known());
                    settleNow();
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
            finish();
            return;
        }
        listening = true;
        ChannelFuture bound = front.listen(config.listen());
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
    CompletableFuture<Void> ended() {
        return ended;
    }

    @Override
    public double now() {
        return clock.now();
    }

    // ---- clients ----

    @Override
    public void asked(ClientConnection connection, ClientConnection.Slot slot, List<byte[]> words) {
        double now = clock.now();
        BlockCommand command;
        try {
            command = BlockCommand.read(words, config.deployment());
            if (engine.operation(command.id) != null) {
                throw new BadCommandException("an operation with this id is in hand");
            }
        } catch (BadCommandException bad) {
            counts.badCommands++;
            slot.answer(RespBytes.error("ERR " + bad.getMessage()));
            return;
        }
        connection.asked = true;
        if (connection.isEnding() || front.isEnding()) {
            events.line("request refused", "id", NumberParser.id(command.id), "why", "STOPPING");
            slot.answer(RespBytes.error("BUSY"));
            return;
        }
        if (bytesInHand + command.bytes() > mostBytes
                || engine.inFlight().size() >= config.mostOpen()) {
            counts.noRoom++;
            events.line("request refused", "id", NumberParser.id(command.id), "why", "NO_ROOM");
            slot.answer(RespBytes.error("BUSY"));
            return;
        }
        bytesInHand += command.bytes();
        counts.taken++;
        Volume volume = engine.volume(command.volume, command.plan.index());
        volume.gatewayCount = command.gateways;
        double cameAt = now - connection.cameAgo(arrival);
        double deadline = Math.min(cameAt + command.patience, Math.max(now + 1, stopAt));
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
                        command.repeat);
        operation.engineState = new Held(command, slot);
        slot.held = operation;
        engine.onArrival(operation);
        settle();
    }

    @Override
    public void left(ClientConnection.Slot slot) {
        Operation operation = (Operation) slot.held;
        slot.held = null;
        counts.left++;
        release(operation);
        engine.onClientCancelled(operation.id, clock.now());
        operation.attempts.forEach(nodes::callOffUnwritten);
        settle();
    }

    @Override
    public void closed(ClientConnection connection) {
        if (connection.endReason() != null) {
            events.line(
                    "client connection closed",
                    "why",
                    connection.endReason(),
                    "age-ms",
                    Math.round(clock.now() - connection.connectedAt),
                    "asked",
                    connection.asked);
        }
        front.closed(connection);
        checkEnd();
    }

    @Override
    public void endUnserved(Operation operation, RoutingDecision decision) {
        boolean declined = decision.kind() == RoutingDecision.Kind.REJECT;
        events.line(
                declined ? "request refused" : "request failed",
                "id",
                NumberParser.id(operation.id),
                "band",
                operation.trafficClass.name(),
                "why",
                decision.reason(),
                "after-ms",
                Math.round(clock.now() - operation.arrivedAt),
                "attempts",
                attempts(operation));
        counts.gaveUp(operation.trafficClass, decision.reason());
        if (!declined) {
            answer(operation, RespBytes.error("ERR failed"));
        } else if (decision.retryAfter() > 0) {
            answer(operation, RespBytes.error("BUSY " + (long) Math.ceil(decision.retryAfter())));
        } else {
            answer(operation, RespBytes.error("BUSY"));
        }
    }

    /** Where an operation was sent and how that ended, for the log. */
    private String attempts(Operation operation) {
        StringBuilder text = new StringBuilder();
        for (Attempt attempt : operation.attempts) {
            text.append(text.isEmpty() ? "" : ",")
                    .append(book.name(attempt.node))
                    .append(':')
                    .append(attempt.outcome == null ? "OUT" : attempt.outcome);
        }
        return text.toString();
    }

    private void answer(Operation operation, ByteBuf bytes) {
        Held held = release(operation);
        held.slot().answer(bytes);
        checkEnd();
    }

    private Held release(Operation operation) {
        Held held = (Held) operation.engineState;
        operation.engineState = null;
        bytesInHand -= held.command().bytes();
        return held;
    }

    // ---- nodes ----

    @Override
    public void send(Attempt attempt, double timeout) {
        counts.attempts++;
        if (attempt.number > 0) {
            events.line(
                    "request retried",
                    "id",
                    NumberParser.id(attempt.operation.id),
                    "attempts",
                    attempts(attempt.operation));
        }
        SocketAddress address = book.address(attempt.node);
        BlockCommand command = ((Held) attempt.operation.engineState).command();
        nodes.send(
                attempt,
                address,
                left -> engine.mayStart(attempt, clock.now()) ? command.forNode(left) : null,
                timeout,
                (outcome, answer, at) -> attemptEnded(attempt, outcome, answer, at));
    }

    private void attemptEnded(Attempt attempt, Outcome outcome, Resp answer, double at) {
        double now = clock.now();
        attempt.outcome = outcome;
        attempt.duration = at - attempt.sentAt;
        counts.ended(outcome, attempt.node);
        EndpointResponse.tell(attempt, answer, config.deployment().reportFields());
        boolean settled = attempt.operation.ended;
        if (outcome == Outcome.SERVED && !settled) {
            settled = true;
            counts.satisfied(attempt.operation, now);
            attempt.operation.ended = true;
            answer(attempt.operation, RespBytes.bulk(EndpointResponse.value(answer)));
        }
        engine.onAttemptEnded(attempt, settled, now);
        settle();
    }

    @Override
    public void cancel(Attempt attempt) {
        nodes.callOff(attempt);
    }

    @Override
    public void checkHealth(Node node) {
        boolean load = !config.deployment().reportFields().isEmpty();
        List<byte[]> words =
                (load ? List.of("INFO", "load") : List.of("PING"))
                        .stream().map(word -> word.getBytes(StandardCharsets.US_ASCII)).toList();
        double sentAt = clock.now();
        nodes.probe(
                book.address(node),
                words,
                PROBE_TIMEOUT,
                (outcome, answer, at) -> {
                    boolean well =
                            (answer instanceof Resp.Bulk bulk && !bulk.isNull())
                                    || (answer instanceof Resp.Line line && !line.isError());
                    double[] report =
                            answer instanceof Resp.Bulk bulk
                                    ? EndpointResponse.report(
                                            bulk, config.deployment().reportFields())
                                    : null;
                    engine.onHealthCheck(
                            node.id,
                            well ? Outcome.SERVED : outcome,
                            at - sentAt,
                            report,
                            clock.now());
                    settle();
                });
    }

    // ---- discovery ----

    @Override
    public void openWatch() {
        discovery.subscribe();
    }

    @Override
    public void pollEndpointList() {
        discovery.fetch();
    }

    @Override
    public void listed(EndpointListUpdate listing) {
        LogWriter.info(
                "list of nodes",
                "revision",
                listing.revision(),
                "whole",
                listing.whole(),
                "entries",
                listing.members().size());
        List<String> changes = book.changes(listing, engine::node);
        if (!changes.isEmpty()) {
            LogWriter.info("endpoint states", "revision", listing.revision(), "changes", changes);
        }
        for (String entry : listing.unreadable()) {
            LogWriter.warn("an entry of the list cannot be read", "entry", entry);
        }
        engine.onEndpointList(book.entries(listing), listing.whole(), clock.now())
                .forEach(book::forget);
        settle();
    }

    @Override
    public void listConfirmed(double asOf) {
        engine.onListConfirmed(asOf);
        firstList.complete(null);
        settle();
    }

    @Override
    public void discoveryUnreachable(double at) {
        engine.onDiscoveryUnreachable(at);
    }

    @Override
    public void listFailed(String why) {
        LogWriter.warn("the list of nodes failed", "why", why);
        engine.onPollFailed(clock.now());
        settle();
    }

    // ---- what is due ----

    /** Asks what is due, once for all that one turn of the loop brought. */
    private void settle() {
        if (!settleDue) {
            settleDue = true;
            loop.execute(
                    () -> {
                        settleDue = false;
                        settleNow();
                    });
        }
    }

    private void settleNow() {
        engine.runDueWork(clock.now());
    }

    @Override
    public void scheduleWakeUp(double pause, double now) {
        alarm.by(now + pause);
    }

    private void sweep() {
        double late = clock.now() - sweepDue;
        sweepDue = clock.now() + SWEEP_MS;
        worstLag = Math.max(worstLag, late);
        front.sweep();
        nodes.sweep();
        checkEnd();
        double now = clock.now();
        counts.waits(engine.waitingByReason(now));
    }

    private void report() {
        Runtime runtime = Runtime.getRuntime();
        LogWriter.info(
                "state",
                "in-hand",
                engine.inFlight().size(),
                "bytes",
                bytesInHand,
                "hops-out",
                nodes.attemptsOut(),
                "node-connections",
                nodes.open(),
                "opened",
                nodes.opened,
                "no-room-for-hop",
                nodes.refusedForRoom,
                "found-spent",
                nodes.foundSpent,
                "spoilt",
                nodes.spoilt,
                "clients",
                front.size(),
                "accepted",
                front.accepted,
                "turned-away",
                front.turnedAway,
                "revision",
                discovery.revision(),
                "watching",
                discovery.isWatching(),
                "lag-ms",
                Math.round(worstLag),
                "heap-kb",
                (runtime.totalMemory() - runtime.freeMemory()) >> 10,
                "counts",
                counts,
                "bands",
                engine.trafficClassViews());
        worstLag = 0;
        for (Node node : engine.nodes()) {
            Map<Outcome, Integer> ended = counts.lately(node);
            if (node.phase != Node.Phase.REMOVED || !ended.isEmpty()) {
                LogWriter.info(
                        "node",
                        "id",
                        book.name(node),
                        "standing",
                        node.phase,
                        "cell",
                        node.cell,
                        "view",
                        EndpointView.of(node),
                        "ended",
                        ended,
                        "connections",
                        nodes.open(book.address(node)));
            }
        }
    }

    // ---- signals ----

    /** How many configurations were read anew, and where discovery is by the last of them. */
    int reloads() {
        return reloads;
    }

    SocketAddress discoveryAt() {
        return discovery.address();
    }

    /**
     * A new configuration was told at a time. What discovery has counts as notified some seconds
     * after that, however long the file takes to read.
     */
    void reloadTold(double toldAt) {
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
    void reload(Config fresh, double readAt) {
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
                        settle();
                    }
                    reloads++;
                });
    }

    /** The file was read, beginning at a time, and cannot be used: all stays as it was. */
    void reloadUnusable(double readAt) {
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
                            Math.min(longestPatience(config), LONGEST_STOP)
                                    + KILL_AFTER
                                    - ANSWERED_BEFORE;
                    stopAt = toldAt + left;
                    double now = clock.now();
                    front.keepUnused();
                    LogWriter.info("stopping", "in-hand", engine.inFlight().size());
                    loop.schedule(
                            () -> {
                                front.end();
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
                events.line(
                        "request failed",
                        "id",
                        NumberParser.id(operation.id),
                        "why",
                        "STOPPING",
                        "attempts",
                        attempts(operation));
                answer(operation, RespBytes.error("ERR the gateway stops"));
                engine.onClientCancelled(operation.id, clock.now());
            }
        }
        loop.schedule(this::finish, SWEEP_MS / 2, TimeUnit.MILLISECONDS);
    }

    private void checkEnd() {
        if (stopping && front.hasEnded() && !ended.isDone()) {
            finish();
        }
    }

    /** Ends at once. */
    void finish() {
        loop.execute(
                () -> {
                    LogWriter.info(
                            "stopped", "in-hand", engine.inFlight().size(), "counts", counts);
                    front.end();
                    discovery.close();
                    nodes.close();
                    ended.complete(null);
                });
    }
}
