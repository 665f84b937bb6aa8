package sagepulley.frontend.resp;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import sagepulley.discovery.http.DiscoveryClient;
import sagepulley.discovery.http.EndpointListUpdate;
import sagepulley.engine.Clock;
import sagepulley.engine.GatewayEngine;
import sagepulley.logging.LogWriter;

/**
 * Passes endpoint lists and poll results from discovery to the engine. Runs on the event loop;
 * times are in milliseconds of the gateway's clock.
 */
final class EndpointListHandler implements DiscoveryClient.Listener {
    private final Clock clock;
    private final GatewayEngine engine;
    private final EndpointRegistry endpoints;
    private final Runnable onEngineEvent;
    private final CompletableFuture<Void> firstList = new CompletableFuture<>();

    /**
     * @param onEngineEvent runs after each event that may give the engine due work
     */
    EndpointListHandler(
            Clock clock, GatewayEngine engine, EndpointRegistry endpoints, Runnable onEngineEvent) {
        this.clock = clock;
        this.engine = engine;
        this.endpoints = endpoints;
        this.onEngineEvent = onEngineEvent;
    }

    /**
     * Returns a future that completes with the first list that discovery confirms. The gateway
     * completes it earlier on a timeout or at shutdown.
     */
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
