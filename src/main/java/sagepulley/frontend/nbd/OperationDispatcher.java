package sagepulley.frontend.nbd;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import sagepulley.accounts.Accounts;
import sagepulley.codec.frame.EventLoopTimer;
import sagepulley.codec.nbd.NbdConstants;
import sagepulley.discovery.directory.DirectoryClient;
import sagepulley.engine.Clock;
import sagepulley.model.Attempt;
import sagepulley.model.FollowUp;
import sagepulley.model.Node;
import sagepulley.model.Operation;
import sagepulley.model.Outcome;
import sagepulley.model.Reason;
import sagepulley.model.RoutingDecision;
import sagepulley.model.SchedulerTurn;
import sagepulley.scheduler.Scheduler;
import sagepulley.upstream.frame.NodeConnection;
import sagepulley.upstream.frame.StoreMessages;

/**
 * Drives the scheduler for the parts of NBD requests: reports events to it and carries out its
 * decisions, so that each part ends exactly once. Owns the attempts in flight and their timeouts;
 * confined to the engine's event loop.
 */
final class OperationDispatcher implements ExtentLocator.Listener {
    private static final double NANOS_PER_MILLI = 1e6;

    private final EventLoop loop;
    private final Clock clock;
    private final Scheduler scheduler;
    private final DirectoryClient directory;
    private final NodeConnectionRegistry connections;
    private final ExtentLocator locator;
    private final OperationAccounting accounting;
    private final PendingRequests requests;
    private final Counters counters;
    private final EventLoopTimer timer;

    /** Parts with an attempt in flight, by the attempt's id on the wire. */
    private final Map<Long, RequestPart> inFlight = new HashMap<>();

    private long lastAttemptId;
    private boolean turnScheduled;

    OperationDispatcher(
            EventLoop loop,
            Clock clock,
            Scheduler scheduler,
            DirectoryClient directory,
            NodeConnectionRegistry connections,
            int extentBytes,
            OperationAccounting accounting,
            PendingRequests requests,
            Counters counters) {
        this.loop = loop;
        this.clock = clock;
        this.scheduler = scheduler;
        this.directory = directory;
        this.connections = connections;
        this.locator = new ExtentLocator(directory, scheduler, clock, extentBytes, this);
        this.accounting = accounting;
        this.requests = requests;
        this.counters = counters;
        this.timer = new EventLoopTimer(loop, clock::now, this::runTurn);
    }

    /** Returns the locator of the parts' extents. */
    ExtentLocator locator() {
        return locator;
    }

    /** Cancels the timer of the scheduler's turns. */
    void close() {
        timer.cancel();
    }

    // ---- from the request to the scheduler ----

    /**
     * Starts a part: submits a flush to the scheduler at once, and first locates the extent of any
     * other part.
     */
    void dispatch(RequestPart part) {
        if (part.kind == StoreMessages.Kind.FLUSH) {
            submit(part);
            return;
        }
        if (part.operation.trafficClass.ordered()) {
            scheduler.onArrival(part.operation, part.request.keyReservation, clock.now());
        }
        locator.locate(part);
    }

    /**
     * Reserves the places of a request's parts in the order of their extents, which its traffic
     * class keeps. Called before any of the parts is dispatched.
     */
    void reserveOrder(PendingRequest request, long firstKey, long lastKey) {
        request.keyReservation = scheduler.reserveKeys(firstKey, lastKey);
    }

    /** Gives up the reserved places of parts that will not be dispatched. */
    void releaseOrder(PendingRequest request) {
        if (request.keyReservation != null) {
            scheduler.releaseKeys(request.keyReservation);
            scheduleTurn();
        }
    }

    /** Cancels a part whose client has disconnected. */
    void cancel(RequestPart part) {
        part.operation.ended = true;
        counters.cancelled.increment();
        locator.stopLocating(part);
        if (part.submitted) {
            scheduler.onClientCancelled(part.operation, clock.now());
        } else {
            scheduler.onEndedWithoutNode(part.operation);
        }
        accounting.partEnded(part, Accounts.End.CANCELLED, Reason.NONE);
        accounting.schedulerWaitEnded(part);
        part.payload.release();
        part.ended();
    }

    @Override
    public void located(RequestPart part) {
        submit(part);
    }

    @Override
    public void unallocated(RequestPart part) {
        part.operation.ended = true;
        scheduler.onEndedWithoutNode(part.operation);
        counters.holes.increment();
        if (part.kind == StoreMessages.Kind.READ) {
            part.request.readChunks.add(
                    new PendingRequest.ReadChunk(part.exportOffset, part.length, null));
        }
        completeServed(part);
    }

    @Override
    public void directoryWaitStarted(RequestPart part, double now) {
        accounting.directoryWaitStarted(part, now);
    }

    @Override
    public void schedulerChanged() {
        scheduleTurn();
    }

    private void submit(RequestPart part) {
        part.submitted = true;
        applyDecision(part, scheduler.route(part.operation, clock.now()));
    }

    // ---- the scheduler's turns ----

    /** Schedules a scheduler turn; several calls within one event loop iteration share one turn. */
    void scheduleTurn() {
        if (!turnScheduled) {
            turnScheduled = true;
            loop.execute(this::runTurn);
        }
    }

    private void runTurn() {
        turnScheduled = false;
        double now = clock.now();
        locator.releaseExpired(now);
        SchedulerTurn turn = scheduler.nextTurn(now);
        // Once every due operation waits, another turn at the same time would change nothing.
        while (applyTurn(turn, now)) {
            turn = scheduler.nextTurn(now);
        }
        timer.scheduleBy(Math.min(now + turn.delay(), locator.nextExpiry()));
    }

    /**
     * Carries out the actions of a turn. Returns whether any operation was located or got a
     * decision other than to wait.
     */
    private boolean applyTurn(SchedulerTurn turn, double now) {
        for (Attempt attempt : turn.cancellations()) {
            cancel(attempt);
        }
        for (Node node : turn.healthChecks()) {
            connections.connection(node.id).checkHealth(++lastAttemptId);
        }
        switch (turn.poll()) {
            case SUBSCRIBE -> directory.subscribe();
            case FETCH -> directory.fetch();
            case NONE -> {}
        }
        for (Operation operation : turn.firstOfKey()) {
            locator.locateAgain(partOf(operation));
        }
        boolean anyDecided = !turn.firstOfKey().isEmpty();
        for (Operation operation : turn.due()) {
            RoutingDecision decision = scheduler.route(operation, now);
            anyDecided |= decision.kind() != RoutingDecision.Kind.WAIT;
            applyDecision(partOf(operation), decision);
        }
        return anyDecided;
    }

    private static RequestPart partOf(Operation operation) {
        return (RequestPart) operation.engineState;
    }

    // ---- the scheduler's decisions ----

    private void applyDecision(RequestPart part, RoutingDecision decision) {
        if (decision.kind() == RoutingDecision.Kind.WAIT) {
            if (!part.operation.ended) {
                accounting.schedulerWaitStarted(part);
            }
            return;
        }
        accounting.schedulerWaitEnded(part);
        switch (decision.kind()) {
            case SEND -> startAttempt(part, decision.timeout());
            case REJECT -> reject(part, decision);
            case ABANDON -> abandon(part, decision);
            case WAIT -> throw new IllegalStateException("a WAIT decision returns earlier");
        }
    }

    private void startAttempt(RequestPart part, double timeoutMillis) {
        Attempt attempt = lastAttempt(part);
        long attemptId = ++lastAttemptId;
        part.attemptId = attemptId;
        part.handedToConnection = false;
        inFlight.put(attemptId, part);
        part.timeout =
                loop.schedule(
                        () -> timedOut(attemptId),
                        Math.max(1, (long) (timeoutMillis * NANOS_PER_MILLI)),
                        TimeUnit.NANOSECONDS);
        if (part.operation.shard < 0) {
            accounting.claimStarted(part, attempt);
            claimAndSend(part, attempt);
        } else {
            send(part, attempt);
        }
    }

    private void reject(RequestPart part, RoutingDecision decision) {
        counters.rejected.increment();
        String retryAfter =
                decision.retryAfter() > 0
                        ? "; retry after " + (long) Math.ceil(decision.retryAfter()) + " ms"
                        : "";
        completeFailed(
                part,
                Accounts.End.REJECTED,
                decision.reason(),
                NbdConstants.ENOMEM,
                "rejected ("
                        + OperationTracing.toText(decision.reason())
                        + "): not executed, safe to retry"
                        + retryAfter);
    }

    private void abandon(RequestPart part, RoutingDecision decision) {
        counters.abandoned.increment();
        completeFailed(
                part,
                Accounts.End.ABANDONED,
                decision.reason(),
                NbdConstants.EIO,
                "abandoned: it may have been executed");
    }

    private void claimAndSend(RequestPart part, Attempt attempt) {
        locator.claim(
                part,
                attempt,
                cell -> {
                    if (attempt.outcome != null) {
                        scheduleTurn();
                    } else if (cell != null
                            && cell == attempt.node.cell
                            && scheduler.mayStart(attempt, clock.now())) {
                        send(part, attempt);
                    } else {
                        // Another cell holds the extent, the claim failed, or the attempt may no
                        // longer start: it was never sent.
                        inFlight.remove(part.attemptId);
                        attemptEnded(part, Outcome.NOT_EXECUTED);
                    }
                });
    }

    private void send(RequestPart part, Attempt attempt) {
        part.handedToConnection = true;
        accounting.attemptSent(part, attempt);
        NodeConnection connection = connections.connection(attempt.node.id);
        counters.attempts.increment();
        boolean extentMustExist =
                part.kind != StoreMessages.Kind.FLUSH && locator.isUnverified(part);
        connection.send(
                part.attemptId,
                AttemptMessages.send(part, attempt, extentMustExist),
                part.payload.retainedDuplicate());
    }

    // ---- ends of attempts ----

    /** Ends an attempt that a node answered. Takes ownership of the payload. */
    void answered(long attemptId, StoreMessages.Answer answer, ByteBuf payload) {
        RequestPart part = inFlight.remove(attemptId);
        if (part == null) {
            payload.release();
            return;
        }
        AttemptMessages.recordLoad(lastAttempt(part), answer);
        if (answer.code() == StoreMessages.Code.NOT_EXECUTED) {
            locator.onNotExecuted(part);
        }
        if (part.kind == StoreMessages.Kind.FLUSH && answer.code() == StoreMessages.Code.FAILED) {
            part.faultAtNodeStart = connections.startedAt(lastAttempt(part).node.id);
        }
        if (answer.code() == StoreMessages.Code.SERVED) {
            locator.holderVerified(part);
            accounting.attemptServed(part, answer);
        }
        attemptEnded(part, AttemptMessages.takeOutcome(part, answer.code(), payload));
    }

    /** Ends an attempt whose connection could not send it, or closed before the answer. */
    void failed(long attemptId, NodeConnection.ConnectionFailure failure) {
        RequestPart part = inFlight.remove(attemptId);
        if (part != null) {
            attemptEnded(part, outcomeOf(failure));
        }
    }

    private static Outcome outcomeOf(NodeConnection.ConnectionFailure failure) {
        return switch (failure) {
            case NEVER_SENT -> Outcome.NO_CONNECTION;
            case WITHDRAWN -> Outcome.NOT_EXECUTED;
            case RESET -> Outcome.RESET;
        };
    }

    /** Returns whether an attempt that has waited for its connection may still start. */
    boolean mayStart(long attemptId) {
        RequestPart part = inFlight.get(attemptId);
        return part != null && scheduler.mayStart(lastAttempt(part), clock.now());
    }

    private void timedOut(long attemptId) {
        RequestPart part = inFlight.remove(attemptId);
        if (part == null) {
            return;
        }
        if (!part.handedToConnection) {
            attemptEnded(part, Outcome.NOT_EXECUTED);
            return;
        }
        int nodeId = lastAttempt(part).node.id;
        boolean mayHaveExecuted = connections.connection(nodeId).cancel(attemptId);
        attemptEnded(part, mayHaveExecuted ? Outcome.TIMED_OUT : Outcome.NO_CONNECTION);
    }

    /**
     * Cancels an attempt at the scheduler's request. The outcome does not tell whether the node
     * executed it.
     */
    private void cancel(Attempt attempt) {
        RequestPart part = partOf(attempt.operation);
        if (attempt.outcome != null || part.attemptId == 0) {
            return;
        }
        inFlight.remove(part.attemptId);
        if (part.handedToConnection) {
            connections.connection(attempt.node.id).cancel(part.attemptId);
        }
        attemptEnded(part, Outcome.CANCELLED);
    }

    private void attemptEnded(RequestPart part, Outcome outcome) {
        double now = clock.now();
        Operation operation = part.operation;
        Attempt attempt = lastAttempt(part);
        attempt.outcome = outcome;
        attempt.duration = now - attempt.sentAt;
        part.clearAttempt();
        if (outcome != Outcome.SERVED) {
            accounting.attemptFailed(part, outcome, now);
        }
        boolean servedNow = !operation.ended && outcome == Outcome.SERVED;
        operation.ended |= servedNow;
        if (outcome == Outcome.NOT_EXECUTED) {
            counters.notExecuted.increment();
        }
        FollowUp followUp = scheduler.onAttemptEnded(attempt, now);
        if (servedNow) {
            part.request.recordExecuted(operation.trafficClass);
            part.recordDurability(attempt.node.cell, connections.startedAt(attempt.node.id));
            completeServed(part);
        } else if (followUp == FollowUp.ROUTE_AGAIN) {
            if (locator.isLocated(part)) {
                applyDecision(part, scheduler.route(operation, now));
            } else {
                locator.locate(part);
            }
        }
        scheduleTurn();
    }

    private static Attempt lastAttempt(RequestPart part) {
        return part.operation.attempts.get(part.operation.attempts.size() - 1);
    }

    // ---- ends of parts ----

    private void completeServed(RequestPart part) {
        part.operation.ended = true;
        counters.served.increment();
        accounting.partEnded(part, Accounts.End.SERVED, Reason.NONE);
        complete(part);
    }

    private void completeFailed(
            RequestPart part, Accounts.End end, Reason reason, int error, String message) {
        part.operation.ended = true;
        accounting.partEnded(part, end, reason);
        if (part.faultAtNodeStart == null) {
            part.request.addError(part.exportOffset, error, message);
        } else {
            part.request.addError(
                    part.exportOffset,
                    NbdConstants.EIO,
                    "a node answered a fault: writes may not be durable, or were lost");
            part.recordReportedFault();
        }
        complete(part);
    }

    private void complete(RequestPart part) {
        accounting.schedulerWaitEnded(part);
        locator.stopLocating(part);
        part.payload.release();
        part.ended();
        if (part.request.hasEnded()) {
            requests.complete(part.request);
        }
    }
}
