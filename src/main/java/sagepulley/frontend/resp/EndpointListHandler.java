package sagepulley.frontend.resp;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import sagepulley.discovery.http.DiscoveryClient;
import sagepulley.discovery.http.EndpointListUpdate;
import sagepulley.engine.Clock;
import sagepulley.engine.GatewayEngine;
import sagepulley.logging.LogWriter;

/**
 * Endpoint lists on their way from discovery into the engine. Runs on the event loop; times are
 * milliseconds of the gateway's clock.
 */
final class EndpointListHandler implements DiscoveryClient.Listener {
    private final Clock clock;
    private final GatewayEngine engine;
    private final EndpointRegistry endpoints;
    private final Runnable onEngineEvent;
    private final CompletableFuture<Void> firstList = new CompletableFuture<>();

    /**
     * @param onEngineEvent is run when the engine has been given something
     */
    EndpointListHandler(
            Clock clock, GatewayEngine engine, EndpointRegistry endpoints, Runnable onEngineEvent) {
        this.clock = clock;
        this.engine = engine;
        this.endpoints = endpoints;
        this.onEngineEvent = onEngineEvent;
    }

    /** Completes with the first list that discovery confirms; others may complete it sooner. */
    CompletableFuture<Void> firstList() {
        return firstList;
    }

    @Override
    public void onEndpointList(EndpointListUpdate update) {
        LogWriter.info(
                "endpoint list received",
                "revision",
                update.revision(),
                "complete",
                update.complete(),
                "entries",
                update.members().size());
        List<String> changes = endpoints.describePhaseChanges(update, engine::node);
        if (!changes.isEmpty()) {
            LogWriter.info(
                    "endpoint phases changed", "revision", update.revision(), "changes", changes);
        }
        for (String entry : update.unreadable()) {
            LogWriter.warn("endpoint list entry unreadable", "entry", entry);
        }
        engine.onEndpointList(endpoints.entries(update), update.complete(), clock.now())
                .forEach(endpoints::remove);
        onEngineEvent.run();
    }

    @Override
    public void onListConfirmed(double asOf) {
        engine.onListConfirmed(asOf);
        firstList.complete(null);
        onEngineEvent.run();
    }

    @Override
    public void onDiscoveryUnreachable(double at) {
        engine.onDiscoveryUnreachable(at);
    }

    @Override
    public void onPollFailed(String reason) {
        LogWriter.warn("endpoint list poll failed", "reason", reason);
        engine.onPollFailed(clock.now());
        onEngineEvent.run();
    }
}
