package sagepulley.frontend.resp;

import java.util.Map;
import sagepulley.discovery.http.DiscoveryClient;
import sagepulley.engine.Clock;
import sagepulley.engine.GatewayEngine;
import sagepulley.logging.LogWriter;
import sagepulley.model.Node;
import sagepulley.model.Outcome;
import sagepulley.scheduler.EndpointView;
import sagepulley.upstream.resp.EndpointConnectionPool;

/**
 * Logs the state of the gateway and of each endpoint at fixed intervals. Runs on the event loop;
 * times are in milliseconds.
 */
final class StateReporter {
    private final Clock clock;
    private final GatewayEngine engine;
    private final GatewayMetrics metrics;
    private final RequestHandler requests;
    private final EndpointConnectionPool connections;
    private final EndpointRegistry endpoints;
    private final DiscoveryClient discovery;
    private double nextSampleAt = Double.POSITIVE_INFINITY;
    private double maxLagMillis;

    StateReporter(
            Clock clock,
            GatewayEngine engine,
            GatewayMetrics metrics,
            RequestHandler requests,
            EndpointConnectionPool connections,
            EndpointRegistry endpoints,
            DiscoveryClient discovery) {
        this.clock = clock;
        this.engine = engine;
        this.metrics = metrics;
        this.requests = requests;
        this.connections = connections;
        this.endpoints = endpoints;
        this.discovery = discovery;
    }

    /**
     * Records how late this call of a periodic task is, which measures the lag of the event loop.
     *
     * @param intervalMillis delay until the next call
     */
    void sampleLag(long intervalMillis) {
        double lateMillis = clock.now() - nextSampleAt;
        nextSampleAt = clock.now() + intervalMillis;
        maxLagMillis = Math.max(maxLagMillis, lateMillis);
    }

    /** Logs the state and the largest lag since the previous report. */
    void report() {
        reportGateway();
        maxLagMillis = 0;
        for (Node node : engine.nodes()) {
            Map<Outcome, Integer> outcomes = metrics.takeRecentOutcomes(node);
            if (node.phase != Node.Phase.REMOVED || !outcomes.isEmpty()) {
                reportEndpoint(node, outcomes);
            }
        }
    }

    private void reportGateway() {
        ClientListener clients = requests.clients();
        Runtime runtime = Runtime.getRuntime();
        LogWriter.info(
                "gateway state",
                "in-flight",
                engine.inFlight().size(),
                "bytes-in-flight",
                requests.memory().requests().usedBytes(),
                "max-bytes-in-flight",
                requests.memory().requests().maxUsedBytes(),
                "input-bytes",
                requests.memory().input().usedBytes(),
                "max-input-bytes",
                requests.memory().input().maxUsedBytes(),
                "max-reply-input-bytes",
                connections.replyMemory().maxUsedBytes(),
                "discarded-commands",
                metrics.discardedCommands,
                "discarded-replies",
                metrics.discardedReplies,
                "attempts-in-flight",
                connections.attemptsInFlight(),
                "endpoint-connections",
                connections.openConnections(),
                "endpoint-connections-opened",
                connections.connectionsOpened(),
                "rejected-at-connection-limit",
                connections.rejectedAtLimit(),
                "stale-connections",
                connections.staleConnections(),
                "invalid-replies",
                connections.invalidReplies(),
                "client-connections",
                clients.connectionCount(),
                "client-connections-accepted",
                clients.accepted(),
                "client-connections-rejected",
                clients.rejected(),
                "revision",
                discovery.revision(),
                "watching",
                discovery.isWatching(),
                "max-lag-ms",
                Math.round(maxLagMillis),
                "heap-kb",
                (runtime.totalMemory() - runtime.freeMemory()) >> 10,
                "counters",
                metrics,
                "traffic-classes",
                engine.trafficClassViews());
    }

    private void reportEndpoint(Node node, Map<Outcome, Integer> outcomes) {
        LogWriter.info(
                "endpoint state",
                "id",
                endpoints.discoveryId(node),
                "phase",
                node.phase,
                "cell",
                node.cell,
                "view",
                EndpointView.of(node),
                "outcomes",
                outcomes,
                "connections",
                connections.openConnections(endpoints.address(node)));
    }
}
