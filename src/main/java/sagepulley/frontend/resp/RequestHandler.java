package sagepulley.frontend.resp;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import sagepulley.codec.resp.NumberParser;
import sagepulley.codec.resp.RespEncoder;
import sagepulley.config.resp.GatewayConfig;
import sagepulley.engine.Clock;
import sagepulley.engine.GatewayEngine;
import sagepulley.logging.RateLimitedLog;
import sagepulley.model.Operation;
import sagepulley.model.RoutingDecision;
import sagepulley.model.TrafficClass;
import sagepulley.model.Volume;
import sagepulley.transport.KernelReceiveTime;

/**
 * Parses and admits client commands, passes them to the engine, and writes exactly one reply to
 * each. Owns the bytes of the commands in flight. Runs on the event loop; times are in milliseconds
 * of the gateway's clock.
 */
final class RequestHandler implements ClientConnection.Handler {
    /** Memory of an operation in flight without the bytes of its command and its reply. */
    private static final long OPERATION_BYTES = 2_048;

    /** The command and the pending reply of an operation in flight. */
    private record PendingRequest(
            BlockCommand command, ClientConnection.PendingReply pendingReply) {}

    /** Receives the events of the request handler. */
    interface Listener {
        /** Called after an event has been passed to the engine, whose due work must run. */
        void onEngineEvent();

        /** Called when a client cancelled an operation whose attempts may still be in flight. */
        void onCancelled(Operation operation);

        /** Called after a reply was written or a connection closed, possibly the last one. */
        void onReplyOrClose();
    }

    private final GatewayConfig config;
    private final Clock clock;
    private final GatewayEngine engine;
    private final GatewayMetrics metrics;
    private final RateLimitedLog eventLog;
    private final Function<Operation, String> attemptsDescription;
    private final Listener listener;
    private final ClientListener clients;
    private final KernelReceiveTime receiveTime = new KernelReceiveTime();
    private final ForwardedIds forwardedIds = new ForwardedIds();
    private final ClientMemory memory;
    private final ReplySizeEstimator replySizes;

    /** Upper bound on the deadlines of newly accepted operations; infinite until shutdown. */
    private double latestDeadline = Double.POSITIVE_INFINITY;

    /**
     * @param attemptsDescription formats the attempts of an operation for the log
     * @param clientsFactory creates the client listener for this handler
     */
    RequestHandler(
            GatewayConfig config,
            Clock clock,
            GatewayEngine engine,
            GatewayMetrics metrics,
            RateLimitedLog eventLog,
            ClientMemory memory,
            Function<Operation, String> attemptsDescription,
            Function<ClientConnection.Handler, ClientListener> clientsFactory,
            Listener listener) {
        this.config = config;
        this.clock = clock;
        this.engine = engine;
        this.metrics = metrics;
        this.eventLog = eventLog;
        this.memory = memory;
        this.replySizes = new ReplySizeEstimator(config.deployment().trafficClasses().size());
        this.attemptsDescription = attemptsDescription;
        this.listener = listener;
        this.clients = clientsFactory.apply(this);
    }

    /** Returns the listener that owns the client connections. */
    ClientListener clients() {
        return clients;
    }

    /** Returns the memory that clients make the gateway keep. */
    ClientMemory memory() {
        return memory;
    }

    /** Limits the deadlines of operations that are accepted from now on. */
    void limitDeadlines(double time) {
        latestDeadline = time;
    }

    @Override
    public double now() {
        return clock.now();
    }

    @Override
    public void onRequest(
            ClientConnection connection,
            ClientConnection.PendingReply pendingReply,
            List<byte[]> arguments) {
        double now = clock.now();
        BlockCommand command;
        try {
            command = BlockCommand.parse(arguments, config.deployment());
            if (engine.operation(command.id) != null) {
                throw new BadCommandException(
                        "operation id "
                                + NumberParser.formatId(command.id)
                                + " is already in flight, expected a unique id");
            }
            if (forwardedIds.contains(command.id)) {
                throw new BadCommandException(
                        "operation id "
                                + NumberParser.formatId(command.id)
                                + " was forwarded before, expected a new id");
            }
        } catch (BadCommandException invalid) {
            metrics.invalidCommands++;
            pendingReply.reply(RespEncoder.error("ERR " + invalid.getMessage()));
            return;
        }
        connection.hasSentCommand = true;
        if (connection.isDraining() || clients.isDraining()) {
            reject(command, pendingReply, "SHUTTING_DOWN");
        } else if (engine.inFlight().size() >= config.maxInFlight()
                || !reserveMemory(command, pendingReply)) {
            metrics.rejectedAtCapacity++;
            reject(command, pendingReply, "AT_CAPACITY");
        } else {
            double receivedAt = now - connection.millisSinceReceived(receiveTime);
            // The time spent waiting for earlier replies of the connection does not count.
            double arrivedAt = connection.wasHeldBack(receivedAt) ? now : receivedAt;
            double deadline = receivedAt + command.deadlineMillis;
            accept(command, pendingReply, arrivedAt, deadline, now);
        }
    }

    /**
     * Reserves the memory of an operation, and of its reply if that may have to wait for an earlier
     * one or for the client to read. Returns false if there is too little left.
     */
    private boolean reserveMemory(
            BlockCommand command, ClientConnection.PendingReply pendingReply) {
        int replyBytes =
                pendingReply.mayUseLastPart() ? 0 : replySizes.expectedBytes(command.trafficClass);
        return pendingReply.tryReserve(OPERATION_BYTES + command.sizeBytes() + replyBytes);
    }

    @Override
    public void onDiscarded(ClientConnection.PendingReply pendingReply) {
        metrics.discardedCommands++;
        eventLog.info("command discarded", "reason", "INPUT_MEMORY");
        pendingReply.reply(RespEncoder.error("BUSY"));
    }

    private void reject(
            BlockCommand command, ClientConnection.PendingReply pendingReply, String reason) {
        eventLog.info(
                "request rejected", "id", NumberParser.formatId(command.id), "reason", reason);
        pendingReply.reply(RespEncoder.error("BUSY"));
    }

    private void accept(
            BlockCommand command,
            ClientConnection.PendingReply pendingReply,
            double arrivedAt,
            double clientDeadline,
            double now) {
        metrics.accepted++;
        Volume volume = engine.volume(command.volume, command.plan.index());
        volume.gatewayCount = command.gatewayCount;
        double deadline = Math.min(clientDeadline, Math.max(now + 1, latestDeadline));
        Operation operation =
                new Operation(
                        command.id,
                        command.trafficClass,
                        volume,
                        command.extent,
                        command.units,
                        command.shard,
                        arrivedAt,
                        deadline,
                        command.clientRetry);
        operation.engineState = new PendingRequest(command, pendingReply);
        pendingReply.attachment = operation;
        engine.onArrival(operation);
        listener.onEngineEvent();
    }

    @Override
    public void onClientCancelled(ClientConnection.PendingReply pendingReply) {
        Operation operation = (Operation) pendingReply.attachment;
        pendingReply.attachment = null;
        metrics.cancelled++;
        release(operation);
        engine.onClientCancelled(operation.id, clock.now());
        listener.onCancelled(operation);
        listener.onEngineEvent();
    }

    @Override
    public void onClosed(ClientConnection connection) {
        if (connection.closeReason() != null) {
            eventLog.info(
                    "client connection closed",
                    "reason",
                    connection.closeReason(),
                    "age-ms",
                    Math.round(clock.now() - connection.connectedAt),
                    "sent-command",
                    connection.hasSentCommand);
        }
        clients.remove(connection);
        listener.onReplyOrClose();
    }

    /** Returns the command of an operation that has no reply yet. */
    BlockCommand command(Operation operation) {
        return ((PendingRequest) operation.engineState).command();
    }

    /**
     * Returns whether the operation's client is known to be there, so that it may be forwarded.
     * True after the reply, when its command is no longer needed.
     */
    boolean isClientPresent(Operation operation) {
        PendingRequest request = (PendingRequest) operation.engineState;
        return request == null || request.pendingReply().connection().isClientPresent();
    }

    /** Records that an attempt of an operation is written to an endpoint. */
    void recordForwarded(Operation operation) {
        if (operation.trafficClass.idempotency() == TrafficClass.Idempotency.NON_IDEMPOTENT) {
            forwardedIds.add(operation.id);
        }
    }

    /** Ends an operation, of which an attempt must not be sent because its client may have gone. */
    void endForAbsentClient(Operation operation) {
        eventLog.info(
                "request rejected",
                "id",
                NumberParser.formatId(operation.id),
                "reason",
                "CLIENT_NOT_SEEN");
        operation.ended = true;
        boolean mayHaveRun = operation.attempts.size() > 1;
        reply(operation, RespEncoder.error(mayHaveRun ? "ERR failed" : "BUSY"));
    }

    /** Replies to an operation with the value that an endpoint returned. */
    void replyServed(Operation operation, byte[] value) {
        PendingRequest request = (PendingRequest) operation.engineState;
        replySizes.onReply(operation.trafficClass, value.length);
        if (request.pendingReply().canKeep(value.length)) {
            reply(operation, RespEncoder.bulk(value));
        } else {
            metrics.discardedReplies++;
            eventLog.info(
                    "reply discarded",
                    "id",
                    NumberParser.formatId(operation.id),
                    "bytes",
                    value.length,
                    "reason",
                    "REQUEST_MEMORY");
            reply(operation, RespEncoder.error("ERR failed"));
        }
    }

    /** Replies to an operation that the engine rejected or abandoned. */
    void replyUnserved(Operation operation, RoutingDecision decision) {
        boolean rejected = decision.kind() == RoutingDecision.Kind.REJECT;
        eventLog.info(
                rejected ? "request rejected" : "request failed",
                "id",
                NumberParser.formatId(operation.id),
                "traffic-class",
                operation.trafficClass.name(),
                "reason",
                decision.reason(),
                "elapsed-ms",
                Math.round(clock.now() - operation.arrivedAt),
                "attempts",
                attemptsDescription.apply(operation));
        metrics.onUnserved(operation.trafficClass, decision.reason());
        if (!rejected) {
            reply(operation, RespEncoder.error("ERR failed"));
        } else if (decision.retryAfter() > 0) {
            reply(operation, RespEncoder.error("BUSY " + (long) Math.ceil(decision.retryAfter())));
        } else {
            reply(operation, RespEncoder.error("BUSY"));
        }
    }

    /**
     * Replies with an error to each operation in flight that has no reply yet. The operation may
     * have been executed.
     */
    void failAll() {
        for (Operation operation : new ArrayList<>(engine.inFlight())) {
            if (operation.engineState != null) {
                eventLog.info(
                        "request failed",
                        "id",
                        NumberParser.formatId(operation.id),
                        "reason",
                        "SHUTTING_DOWN",
                        "attempts",
                        attemptsDescription.apply(operation));
                reply(operation, RespEncoder.error("ERR gateway is shutting down"));
                engine.onClientCancelled(operation.id, clock.now());
            }
        }
    }

    private void reply(Operation operation, ByteBuf bytes) {
        release(operation).pendingReply().reply(bytes);
        listener.onReplyOrClose();
    }

    private PendingRequest release(Operation operation) {
        PendingRequest request = (PendingRequest) operation.engineState;
        operation.engineState = null;
        return request;
    }
}
