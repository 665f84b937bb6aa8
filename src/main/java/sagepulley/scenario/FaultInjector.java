package sagepulley.scenario;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sagepulley.discovery.directory.DirectoryMessages;
import sagepulley.standin.StandInNode;

/** Injects and ends the faults of a scenario. Called on the script thread. */
final class FaultInjector {
    private static final Logger LOG = LoggerFactory.getLogger(FaultInjector.class);

    private final LocalCluster cluster;
    private final ScenarioGateways gateways;
    private final List<LoadGenerator> loads;

    FaultInjector(LocalCluster cluster, ScenarioGateways gateways, List<LoadGenerator> loads) {
        this.cluster = cluster;
        this.gateways = gateways;
        this.loads = loads;
    }

    /** Injects a fault. A failure is logged. */
    void begin(Scenario.Event event) {
        log(event, "fault injected");
        try {
            switch (event.fault()) {
                case DIRECTORY_SILENT -> cluster.directory().setUnresponsive(true);
                case DIRECTORY_FAILING -> cluster.directory().setFailing(true);
                case DIRECTORY_LAGGING -> cluster.directory().delayNotifications(event.magnitude());
                case DIRECTORY_SLOW -> cluster.directory().delayAnswers(event.magnitude());
                case DIRECTORY_DOWN -> LocalCluster.await(cluster.directory().stop());
                case GATEWAY_KILLED -> gateways.kill(gatewayIndex(event));
                case SURGE -> setRateFactor(event, event.magnitude());
                default -> nodes(event).forEach(node -> begin(event, node));
            }
        } catch (RuntimeException e) {
            LOG.atError().setCause(e).log("fault injection failed");
        }
    }

    /** Ends a fault. A failure is logged. */
    void end(Scenario.Event event) {
        log(event, "fault ended");
        try {
            switch (event.fault()) {
                case DIRECTORY_SILENT -> cluster.directory().setUnresponsive(false);
                case DIRECTORY_FAILING -> cluster.directory().setFailing(false);
                case DIRECTORY_LAGGING -> cluster.directory().delayNotifications(0);
                case DIRECTORY_SLOW -> cluster.directory().delayAnswers(0);
                case DIRECTORY_DOWN -> LocalCluster.await(cluster.directory().restart());
                // A restart may wait for the directory and must not block the script.
                case GATEWAY_KILLED ->
                        CompletableFuture.runAsync(() -> gateways.reopen(gatewayIndex(event)));
                case SURGE -> setRateFactor(event, 1);
                default -> nodes(event).forEach(node -> end(event, node));
            }
        } catch (RuntimeException e) {
            LOG.atError().setCause(e).log("failed to end fault");
        }
    }

    private static void log(Scenario.Event event, String message) {
        LOG.atInfo()
                .addKeyValue("fault", event.fault())
                .addKeyValue("targets", event.targets())
                .log(message);
    }

    private static int gatewayIndex(Scenario.Event event) {
        return event.targets().get(0) - 1;
    }

    private List<StandInNode> nodes(Scenario.Event event) {
        return event.targets().stream().map(number -> cluster.nodes().get(number - 1)).toList();
    }

    private void setRateFactor(Scenario.Event event, double factor) {
        loads.stream()
                .filter(load -> load.load().name().equals(event.load()))
                .forEach(load -> load.setRateFactor(factor));
    }

    private void begin(Scenario.Event event, StandInNode node) {
        switch (event.fault()) {
            case SILENT -> node.faults().unresponsive = true;
            case PAUSED -> node.pause(true);
            case REFUSING -> node.faults().rejecting = true;
            case UNREACHABLE -> {
                node.faults().unreachable = true;
                node.closeConnections();
            }
            case CUT -> node.closeConnections();
            case GARBLES -> node.faults().garbleNextAnswer = true;
            case SLOW -> node.faults().slowdownFactor = Math.max(1, event.magnitude());
            case LOSING -> node.faults().lostAnswerShare = event.magnitude();
            case ERRING -> node.faults().errorShare = event.magnitude();
            case DRAINS -> cluster.drain(node);
            case RESTARTS_COLD -> cluster.restartCold(node);
            case LOSES_POWER -> {
                LocalCluster.await(node.failPower());
                cluster.list(node, DirectoryMessages.Phase.READY);
            }
            case GONE -> {
                LocalCluster.await(node.stop());
                cluster.list(node, DirectoryMessages.Phase.GONE);
            }
            default ->
                    throw new IllegalStateException(
                            "fault cannot be injected at a node: " + event.fault());
        }
    }

    private void end(Scenario.Event event, StandInNode node) {
        switch (event.fault()) {
            case SILENT -> node.faults().unresponsive = false;
            case PAUSED -> node.pause(false);
            case REFUSING -> node.faults().rejecting = false;
            case UNREACHABLE -> node.faults().unreachable = false;
            case SLOW -> node.faults().slowdownFactor = 1;
            case LOSING -> node.faults().lostAnswerShare = 0;
            case ERRING -> node.faults().errorShare = 0;
            case GONE -> cluster.restartCold(node);
            default -> {} // momentary or permanent faults
        }
    }
}
