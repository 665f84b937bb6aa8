package sagepulley.monitoring;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Tags;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.ToDoubleFunction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sagepulley.accounts.Cause;
import sagepulley.accounts.LatencyAccount;
import sagepulley.accounts.LatencyComponent;
import sagepulley.accounts.LatencyReport;
import sagepulley.accounts.PlanTier;
import sagepulley.accounts.Totals;
import sagepulley.config.SiteConfig;
import sagepulley.config.VolumeSettings;
import sagepulley.frontend.nbd.NbdGateway;
import sagepulley.model.ExternalName;
import sagepulley.persistence.GatewayAccounts;

/**
 * Serves a gateway's metrics and views over HTTP: /metrics for Prometheus (text), /accounts for the
 * command 'top' (JSON) and /nodes for the command 'nodes' (JSON).
 *
 * <p>Responses are built on the server's threads from copies that the gateway's engine provides.
 * The number of metric labels is bounded: volumes beyond {@link NbdGateway#MAX_VOLUMES_WITH_TOTALS}
 * share the label "others".
 */
public final class MonitoringServer implements AutoCloseable {
    private static final int THREADS = 2;
    private static final int MAX_QUEUED_REQUESTS = 32;
    private static final String PROMETHEUS_TEXT_TYPE = "text/plain; version=0.0.4";
    private static final String JSON_TYPE = "application/json";
    private static final int STATUS_OK = 200;
    private static final int STATUS_METHOD_NOT_ALLOWED = 405;
    private static final int STATUS_SERVICE_UNAVAILABLE = 503;
    private static final int NO_BODY = -1;
    private static final double MILLIS_PER_SECOND = 1000;
    private static final long ENGINE_TIMEOUT_SECONDS = 5;

    /** Period that /accounts covers. */
    private static final double REPORT_PERIOD_MILLIS = 600_000;

    private static final Logger LOG = LoggerFactory.getLogger(MonitoringServer.class);

    /**
     * The response of /accounts, which 'top' displays. The component names are the JSON keys.
     *
     * @param at time of the snapshot in wall-clock milliseconds
     * @param names volume names by volume number
     * @param volumes reports on the last ten minutes
     * @param nodes by node and volume number, the units of all operations and of writes
     */
    public record View(
            String gateway,
            long at,
            Map<Long, String> names,
            List<LatencyReport> volumes,
            Map<Integer, Map<Long, double[]>> nodes) {}

    private final NbdGateway gateway;
    private final HttpServer server;
    private final ThreadPoolExecutor threads;
    private final PrometheusMeterRegistry registry =
            new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

    /** Totals as of the latest scrape. */
    private volatile Totals totals = new Totals(Set.of());

    /**
     * Starts the server.
     *
     * @throws IOException if the address cannot be bound
     */
    public MonitoringServer(SiteConfig site, NbdGateway gateway, InetSocketAddress address)
            throws IOException {
        this.gateway = gateway;
        registerMetrics(site);
        // Closes connections whose request or response takes longer than this many seconds.
        System.setProperty("sun.net.httpserver.maxReqTime", "5");
        System.setProperty("sun.net.httpserver.maxRspTime", "10");
        server = HttpServer.create(address, MAX_QUEUED_REQUESTS);
        threads = newThreads();
        server.setExecutor(threads);
        serve("/metrics", PROMETHEUS_TEXT_TYPE, this::metrics);
        serve("/accounts", JSON_TYPE, this::accounts);
        serve("/nodes", JSON_TYPE, this::nodes);
        server.start();
        LOG.atInfo().addKeyValue("watch", server.getAddress()).log("monitoring server listening");
    }

    private static ThreadPoolExecutor newThreads() {
        return new ThreadPoolExecutor(
                THREADS,
                THREADS,
                1,
                TimeUnit.SECONDS,
                new ArrayBlockingQueue<>(MAX_QUEUED_REQUESTS),
                task -> {
                    Thread thread = new Thread(task, "watch");
                    thread.setDaemon(true);
                    return thread;
                });
    }

    /** Returns the listening address with the port that was bound. */
    public InetSocketAddress address() {
        return server.getAddress();
    }

    // ---- responses ----

    private interface ContentSource {
        String get() throws IOException, InterruptedException, ExecutionException, TimeoutException;
    }

    private void serve(String path, String type, ContentSource content) {
        server.createContext(path, exchange -> respond(exchange, type, content));
    }

    private static void respond(HttpExchange exchange, String type, ContentSource content)
            throws IOException {
        try (exchange) {
            if (!exchange.getRequestMethod().equals("GET")) {
                exchange.sendResponseHeaders(STATUS_METHOD_NOT_ALLOWED, NO_BODY);
                return;
            }
            byte[] bytes;
            try {
                bytes = content.get().getBytes(StandardCharsets.UTF_8);
            } catch (ExecutionException | TimeoutException e) {
                exchange.sendResponseHeaders(STATUS_SERVICE_UNAVAILABLE, NO_BODY);
                return;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
            exchange.getResponseHeaders().set("Content-Type", type);
            exchange.sendResponseHeaders(STATUS_OK, bytes.length);
            exchange.getResponseBody().write(bytes);
        }
    }

    private String metrics() throws InterruptedException, ExecutionException, TimeoutException {
        totals = gateway.totals().get(ENGINE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        return registry.scrape();
    }

    private String accounts()
            throws IOException, InterruptedException, ExecutionException, TimeoutException {
        GatewayAccounts snapshot =
                gateway.accountSnapshot().get(ENGINE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        LatencyAccount account = snapshot.accounts().toAccount();
        double now = snapshot.writtenAt();
        List<LatencyReport> reports =
                account.volumes().stream()
                        .map(volume -> account.report(volume, now - REPORT_PERIOD_MILLIS, now))
                        .toList();
        return new JsonMapper()
                .writeValueAsString(
                        new View(
                                snapshot.gateway(),
                                snapshot.writtenAt(),
                                snapshot.volumeNames(),
                                reports,
                                account.flows(now - REPORT_PERIOD_MILLIS, now)));
    }

    private String nodes()
            throws IOException, InterruptedException, ExecutionException, TimeoutException {
        return new JsonMapper()
                .writeValueAsString(gateway.nodes().get(ENGINE_TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }

    // ---- metrics ----

    private void registerMetrics(SiteConfig site) {
        Map<Long, String> names = new LinkedHashMap<>();
        for (VolumeSettings settings :
                site.volumes().stream().limit(NbdGateway.MAX_VOLUMES_WITH_TOTALS).toList()) {
            names.put((long) settings.id(), settings.name());
        }
        names.put(0L, "others");
        names.forEach(this::registerVolume);
        registerLatencyCounters();
        for (PlanTier tier : PlanTier.values()) {
            registerTotalsCounter(
                    "sagepulley.plan.units",
                    "units of operations ended, by part of the plan",
                    "part",
                    tier,
                    latest -> latest.units(tier));
        }
        registerGatewayCounter(
                "sagepulley.hops",
                "hops sent to nodes",
                source -> source.counters().attempts.sum());
        registerGatewayCounter(
                "sagepulley.hops.moot",
                "hops to a node that does not hold the extent",
                source -> source.counters().notExecuted.sum());
        registerGatewayCounter(
                "sagepulley.clients.connected",
                "connections taken",
                source -> source.counters().clients.sum());
        registerGatewayCounter(
                "sagepulley.clients.bad",
                "connections ended for what they sent",
                source -> source.counters().protocolErrors.sum());
        registerGatewayCounter(
                "sagepulley.traces.made",
                "operations whose trace was kept",
                NbdGateway::tracesRecorded);
        registerGatewayCounter(
                "sagepulley.traces.dropped",
                "traces dropped because exports were slow",
                NbdGateway::tracesDropped);
        Gauge.builder("sagepulley.operations.open", gateway, source -> source.counters().open())
                .description("operations without a final answer")
                .register(registry);
        Gauge.builder("sagepulley.bytes.in.hand", gateway, NbdGateway::bytesInFlight)
                .description("bytes of requests in hand")
                .register(registry);
    }

    private void registerVolume(long id, String name) {
        registerOperationCounter(id, name, "met", volume -> volume.met);
        registerOperationCounter(id, name, "declined", volume -> volume.rejected);
        registerOperationCounter(id, name, "scrapped", volume -> volume.abandoned);
        registerOperationCounter(id, name, "left", volume -> volume.cancelled);
        registerOperationCounter(
                id,
                name,
                "late",
                volume -> volume.missed - volume.rejected - volume.abandoned - volume.cancelled);
        registerVolumeCounter(
                "sagepulley.volume.units",
                "units of operations ended",
                Tags.of("volume", name),
                id,
                volume -> volume.units);
        registerVolumeCounter(
                "sagepulley.volume.waited.seconds",
                "time not worked on by a node",
                Tags.of("volume", name),
                id,
                volume -> volume.waitedMillis / MILLIS_PER_SECOND);
        registerVolumeCounter(
                "sagepulley.volume.utility.lost",
                "utility of what was not met",
                Tags.of("volume", name),
                id,
                volume -> volume.lostWeight);
    }

    private void registerOperationCounter(
            long id, String name, String end, ToDoubleFunction<Totals.VolumeTotals> value) {
        registerVolumeCounter(
                "sagepulley.operations",
                "operations by their end",
                Tags.of("volume", name, "end", end),
                id,
                value);
    }

    private void registerVolumeCounter(
            String metric,
            String description,
            Tags tags,
            long id,
            ToDoubleFunction<Totals.VolumeTotals> value) {
        FunctionCounter.builder(metric, this, server -> value.applyAsDouble(server.totals.of(id)))
                .description(description)
                .tags(tags)
                .register(registry);
    }

    private void registerLatencyCounters() {
        for (LatencyComponent component : LatencyComponent.values()) {
            registerTotalsCounter(
                    "sagepulley.spent.seconds",
                    "where operations' time went",
                    "part",
                    component,
                    latest -> latest.millisIn(component) / MILLIS_PER_SECOND);
        }
        for (Cause.Kind kind : Cause.Kind.values()) {
            registerTotalsCounter(
                    "sagepulley.cause.seconds",
                    "waiting by its cause",
                    "cause",
                    kind,
                    latest -> latest.waitedMillis(kind) / MILLIS_PER_SECOND);
            registerTotalsCounter(
                    "sagepulley.cause.utility.lost",
                    "utility lost by the cause of the wait",
                    "cause",
                    kind,
                    latest -> latest.lostWeight(kind));
        }
    }

    private void registerTotalsCounter(
            String metric,
            String description,
            String label,
            Enum<?> constant,
            ToDoubleFunction<Totals> value) {
        FunctionCounter.builder(metric, this, server -> value.applyAsDouble(server.totals))
                .description(description)
                .tags(Tags.of(label, ExternalName.of(constant)))
                .register(registry);
    }

    private void registerGatewayCounter(
            String metric, String description, ToDoubleFunction<NbdGateway> value) {
        FunctionCounter.builder(metric, gateway, value).description(description).register(registry);
    }

    /** Stops immediately and aborts requests in progress. */
    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
