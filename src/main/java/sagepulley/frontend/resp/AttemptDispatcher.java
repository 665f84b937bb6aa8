package sagepulley.frontend.resp;

import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import sagepulley.codec.resp.NumberParser;
import sagepulley.codec.resp.Resp;
import sagepulley.engine.Clock;
import sagepulley.engine.GatewayEngine;
import sagepulley.logging.RateLimitedLog;
import sagepulley.model.Attempt;
import sagepulley.model.Deployment;
import sagepulley.model.Node;
import sagepulley.model.Operation;
import sagepulley.model.Outcome;
import sagepulley.upstream.resp.EndpointConnectionPool;
import sagepulley.upstream.resp.EndpointReply;

/**
 * Sends attempts and health checks to endpoints as decided by the engine, and reports each result
 * to the engine. Runs on the event loop; times are in milliseconds.
 */
final class AttemptDispatcher {
    private static final double HEALTH_CHECK_TIMEOUT_MILLIS = 250;

    private final Deployment deployment;
    private final Clock clock;
    private final GatewayEngine engine;
    private final EndpointRegistry endpoints;
    private final EndpointConnectionPool connections;
    private final RequestHandler requests;
    private final GatewayMetrics metrics;
    private final RateLimitedLog eventLog;
    private final Runnable onEngineEvent;

    /**
     * @param onEngineEvent runs after each event that is passed to the engine
     */
    AttemptDispatcher(
            Deployment deployment,
            Clock clock,
            GatewayEngine engine,
            EndpointRegistry endpoints,
            EndpointConnectionPool connections,
            RequestHandler requests,
            GatewayMetrics metrics,
            RateLimitedLog eventLog,
            Runnable onEngineEvent) {
        this.deployment = deployment;
        this.clock = clock;
        this.engine = engine;
        this.endpoints = endpoints;
        this.connections = connections;
        this.requests = requests;
        this.metrics = metrics;
        this.eventLog = eventLog;
        this.onEngineEvent = onEngineEvent;
    }

    /** Sends an attempt that ends no later than the timeout. */
    void send(Attempt attempt, double timeoutMillis) {
        metrics.attempts++;
        if (attempt.number > 0) {
            eventLog.info(
                    "request retried",
                    "id",
                    NumberParser.formatId(attempt.operation.id),
                    "attempts",
                    endpoints.describeAttempts(attempt.operation));
        }
        SocketAddress address = endpoints.address(attempt.node);
        BlockCommand command = requests.command(attempt.operation);
        connections.send(
                attempt,
                address,
                remainingMillis -> mayStart(attempt) ? command.withTimeout(remainingMillis) : null,
                timeoutMillis,
                (outcome, reply, receivedAt) ->
                        onAttemptEnded(attempt, outcome, reply, receivedAt));
    }

    /** Returns whether an attempt may be written; ends its operation if its client may be gone. */
    private boolean mayStart(Attempt attempt) {
        if (!engine.mayStart(attempt, clock.now())) {
            return false;
        }
        if (requests.isClientPresent(attempt.operation)) {
            requests.recordForwarded(attempt.operation);
            return true;
        }
        requests.endForAbsentClient(attempt.operation);
        return false;
    }

    private void onAttemptEnded(Attempt attempt, Outcome outcome, Resp reply, double receivedAt) {
        double now = clock.now();
        Operation operation = attempt.operation;
        attempt.outcome = outcome;
        attempt.duration = receivedAt - attempt.sentAt;
        metrics.onAttemptEnded(outcome, attempt.node);
        EndpointReply.recordIn(attempt, reply, deployment.reportFields());
        boolean operationEnded = operation.ended;
        if (outcome == Outcome.SERVED && !operationEnded) {
            operationEnded = true;
            metrics.onServed(operation, now);
            operation.ended = true;
            requests.replyServed(operation, EndpointReply.value(reply));
        }
        engine.onAttemptEnded(attempt, operationEnded, now);
        onEngineEvent.run();
    }

    /** Cancels an attempt whose result is no longer needed. */
    void cancel(Attempt attempt) {
        connections.cancel(attempt);
    }

    /** Cancels the operation's attempts whose command has not been written in full. */
    void cancelUnwritten(Operation operation) {
        operation.attempts.forEach(connections::cancelUnwritten);
    }

    /**
     * Sends a health check to an endpoint: INFO load if the deployment defines load report fields,
     * otherwise PING.
     */
    void checkHealth(Node node) {
        boolean hasLoadReport = !deployment.reportFields().isEmpty();
        List<byte[]> arguments =
                (hasLoadReport ? List.of("INFO", "load") : List.of("PING"))
                        .stream()
                                .map(argument -> argument.getBytes(StandardCharsets.US_ASCII))
                                .toList();
        double sentAt = clock.now();
        connections.sendHealthCheck(
                endpoints.address(node),
                arguments,
                HEALTH_CHECK_TIMEOUT_MILLIS,
                (outcome, reply, receivedAt) ->
                        onHealthCheckEnded(node, outcome, reply, receivedAt - sentAt));
    }

    private void onHealthCheckEnded(Node node, Outcome outcome, Resp reply, double duration) {
        boolean healthy =
                (reply instanceof Resp.Bulk bulk && !bulk.isNull())
                        || (reply instanceof Resp.Line line && !line.isError());
        double[] report =
                reply instanceof Resp.Bulk bulk
                        ? EndpointReply.parseReport(bulk, deployment.reportFields())
                        : null;
        engine.onHealthCheck(
                node.id, healthy ? Outcome.SERVED : outcome, duration, report, clock.now());
        onEngineEvent.run();
    }
}
