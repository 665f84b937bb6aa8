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
 * A gateway's figures over HTTP, for Prometheus (/metrics, text) for 'top' (/accounts, JSON) and
 * for 'nodes' (/nodes, JSON). Labels are bounded: volumes with an account of their own in the sums,
 * and fixed words.
 */
public final class MonitoringServer implements AutoCloseable {
    private static final int THREADS = 2;
    private static final int MOST_WAITING = 32;
    private static final long LONGEST_SECONDS = 5;
    private static final double LATELY = 600_000;
    private static final Logger LOG = LoggerFactory.getLogger(MonitoringServer.class);

    /**
     * What 'top' shows: the volumes' names and reports of the last minutes, and units by node and
     * volume.
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
    private volatile Totals totals = new Totals(Set.of());

    /** Listens from now on. */
    public MonitoringServer(SiteConfig site, NbdGateway gateway, InetSocketAddress address)
            throws IOException {
        this.gateway = gateway;
        register(site);
        // Whoever is slow to ask or to read is ended.

        System.setProperty("sun.net.httpserver.maxReqTime", "5");
        System.setProperty("sun.net.httpserver.maxRspTime", "10");
        server = HttpServer.create(address, MOST_WAITING);
        threads =
                new ThreadPoolExecutor(
                        THREADS,
                        THREADS,
                        1,
                        TimeUnit.SECONDS,
                        new ArrayBlockingQueue<>(MOST_WAITING),
                        task -> {
                            Thread thread = new Thread(task, "watch");
                            thread.setDaemon(true);
                            return thread;
                        });
        server.setExecutor(threads);
        server.createContext(
                "/metrics",
                exchange -> answer(exchange, "text/plain; version=0.0.4", this::metrics));
        server.createContext(
                "/accounts", exchange -> answer(exchange, "application/json", this::view));
        server.createContext(
                "/nodes", exchange -> answer(exchange, "application/json", this::nodes));
        server.start();
        LOG.atInfo().addKeyValue("watch", server.getAddress()).log("figures over HTTP");
    }

    public InetSocketAddress address() {
        return server.getAddress();
    }

    private interface Body {
        String text()
                throws IOException, InterruptedException, ExecutionException, TimeoutException;
    }

    private static void answer(HttpExchange exchange, String type, Body body) throws IOException {
        try (exchange) {
            if (!exchange.getRequestMethod().equals("GET")) {
                exchange.sendResponseHeaders(405, -1);
                return;
            }
            byte[] bytes;
            try {
                bytes = body.text().getBytes(StandardCharsets.UTF_8);
            } catch (ExecutionException | TimeoutException e) {
                exchange.sendResponseHeaders(503, -1);
                return;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
            exchange.getResponseHeaders().set("Content-Type", type);
            exchange.sendResponseHeaders(200, bytes.length);
            exchange.getResponseBody().write(bytes);
        }
    }

    private String metrics() throws InterruptedException, ExecutionException, TimeoutException {
        totals = gateway.totals().get(LONGEST_SECONDS, TimeUnit.SECONDS);
        return registry.scrape();
    }

    private String view()
            throws IOException, InterruptedException, ExecutionException, TimeoutException {
        GatewayAccounts written = gateway.accountSnapshot().get(LONGEST_SECONDS, TimeUnit.SECONDS);
        LatencyAccount book = written.accounts().toAccount();
        double now = written.writtenAt();
        List<LatencyReport> reports =
                book.volumes().stream()
                        .map(volume -> book.report(volume, now - LATELY, now))
                        .toList();
        return new JsonMapper()
                .writeValueAsString(
                        new View(
                                written.gateway(),
                                written.writtenAt(),
                                written.volumeNames(),
                                reports,
                                book.flows(now - LATELY, now)));
    }

    private String nodes()
            throws IOException, InterruptedException, ExecutionException, TimeoutException {
        return new JsonMapper()
                .writeValueAsString(gateway.nodes().get(LONGEST_SECONDS, TimeUnit.SECONDS));
    }

    // ---- figures ----

    private void register(SiteConfig site) {
        Map<Long, String> names = new LinkedHashMap<>();
        for (VolumeSettings line :
                site.volumes().stream().limit(NbdGateway.MAX_VOLUMES_WITH_TOTALS).toList()) {
            names.put((long) line.id(), line.name());
        }
        names.put(0L, "others");
        names.forEach(
                (id, name) -> {
                    volume(id, name, "met", sum -> sum.met);
                    volume(id, name, "declined", sum -> sum.rejected);
                    volume(id, name, "scrapped", sum -> sum.abandoned);
                    volume(id, name, "left", sum -> sum.cancelled);
                    volume(
                            id,
                            name,
                            "late",
                            sum -> sum.missed - sum.rejected - sum.abandoned - sum.cancelled);
                    of(
                            id,
                            "sagepulley.volume.units",
                            "units of operations ended",
                            name,
                            sum -> sum.units);
                    of(
                            id,
                            "sagepulley.volume.waited.seconds",
                            "time not worked on by a node",
                            name,
                            sum -> sum.waitedMillis / 1000);
                    of(
                            id,
                            "sagepulley.volume.utility.lost",
                            "utility of what was not met",
                            name,
                            sum -> sum.lostWeight);
                });
        for (LatencyComponent part : LatencyComponent.values()) {
            sum(
                    "sagepulley.spent.seconds",
                    "where operations' time went",
                    "part",
                    part,
                    now -> now.millisIn(part) / 1000);
        }
        for (Cause.Kind kind : Cause.Kind.values()) {
            sum(
                    "sagepulley.cause.seconds",
                    "waiting by its cause",
                    "cause",
                    kind,
                    now -> now.waitedMillis(kind) / 1000);
            sum(
                    "sagepulley.cause.utility.lost",
                    "utility lost by the cause of the wait",
                    "cause",
                    kind,
                    now -> now.lostWeight(kind));
        }
        for (PlanTier part : PlanTier.values()) {
            sum(
                    "sagepulley.plan.units",
                    "units of operations ended, by part of the plan",
                    "part",
                    part,
                    now -> now.units(part));
        }
        counter("sagepulley.hops", "hops sent to nodes", gate -> gate.counters().attempts.sum());
        counter(
                "sagepulley.hops.moot",
                "hops to a node that does not hold the extent",
                gate -> gate.counters().notExecuted.sum());
        counter(
                "sagepulley.clients.connected",
                "connections taken",
                gate -> gate.counters().clients.sum());
        counter(
                "sagepulley.clients.bad",
                "connections ended for what they sent",
                gate -> gate.counters().protocolErrors.sum());
        counter(
                "sagepulley.traces.made",
                "operations whose trace was kept",
                NbdGateway::tracesRecorded);
        counter(
                "sagepulley.traces.dropped",
                "traces dropped because exports were slow",
                NbdGateway::tracesDropped);
        Gauge.builder("sagepulley.operations.open", gateway, gate -> gate.counters().open())
                .description("operations without a final answer")
                .register(registry);
        Gauge.builder("sagepulley.bytes.in.hand", gateway, NbdGateway::bytesInFlight)
                .description("bytes of requests in hand")
                .register(registry);
    }

    private void volume(
            long id, String name, String end, ToDoubleFunction<Totals.OfVolume> figure) {
        FunctionCounter.builder("sagepulley.operations", this, watch -> watch.figure(id, figure))
                .description("operations by their end")
                .tags(Tags.of("volume", name, "end", end))
                .register(registry);
    }

    private void of(
            long id,
            String metric,
            String what,
            String name,
            ToDoubleFunction<Totals.OfVolume> figure) {
        FunctionCounter.builder(metric, this, watch -> watch.figure(id, figure))
                .description(what)
                .tags(Tags.of("volume", name))
                .register(registry);
    }

    private double figure(long id, ToDoubleFunction<Totals.OfVolume> figure) {
        return figure.applyAsDouble(totals.of(id));
    }

    private void sum(
            String metric,
            String what,
            String label,
            Enum<?> word,
            ToDoubleFunction<Totals> figure) {
        FunctionCounter.builder(metric, this, watch -> figure.applyAsDouble(watch.totals))
                .description(what)
                .tags(Tags.of(label, ExternalName.of(word)))
                .register(registry);
    }

    private void counter(String metric, String what, ToDoubleFunction<NbdGateway> figure) {
        FunctionCounter.builder(metric, gateway, figure).description(what).register(registry);
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
