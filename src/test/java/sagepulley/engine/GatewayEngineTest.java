package sagepulley.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import sagepulley.config.settings.SettingsReader;
import sagepulley.model.Attempt;
import sagepulley.model.Node;
import sagepulley.model.Operation;
import sagepulley.model.Outcome;
import sagepulley.model.RoutingDecision;

/** Checks the state kept for endpoints that are removed and listed again. */
class GatewayEngineTest {
    private static final String SETTINGS =
            """
            me=0
            balancers=1
            classes.count=1
            classes.0.effect=retryable
            classes.0.sloNs=300000000
            classes.0.hardLimitNs=1000000000
            plans.count=1
            contract.drainGraceNs=1000000000
            contract.coldFrom=0.5
            contract.coldNs=1000000000
            contract.fallMultiple=3
            contract.overloadForNs=1000000000
            domain.coldBears=4
            domain.maxUnits=6
            limits.mostTries=2
            limits.mayDuplicate=false
            """;
    private final List<Attempt> sent = new ArrayList<>();
    private final GatewayEngine engine =
            new GatewayEngine(
                    SettingsReader.ofLines(SETTINGS).deployment(),
                    1,
                    new DecisionSink() {
                        @Override
                        public void send(Attempt attempt, double timeout) {
                            sent.add(attempt);
                        }

                        @Override
                        public void endUnserved(Operation operation, RoutingDecision decision) {
                            throw new AssertionError(
                                    "unexpectedly rejected or abandoned: " + decision.reason());
                        }

                        @Override
                        public void cancel(Attempt attempt) {
                            throw new AssertionError("unexpected cancellation");
                        }

                        @Override
                        public void checkHealth(Node node) {
                            throw new AssertionError("unexpected health check");
                        }

                        @Override
                        public void openWatch() {
                            throw new AssertionError(
                                    "unexpected watch: the endpoint list is pushed");
                        }

                        @Override
                        public void pollEndpointList() {
                            throw new AssertionError(
                                    "unexpected poll: the endpoint list is pushed");
                        }

                        @Override
                        public void scheduleWakeUp(double delay, double now) {
                            // The test advances the time itself.
                        }
                    });

    @Test
    void removedEndpointIsPrunedAfterItsLastAttemptEnded() {
        engine.onEndpointList(List.of(entry(1, 0), entry(2, 1)), true, 0);
        Operation operation =
                new Operation(
                        1,
                        engine.deployment().trafficClasses().get(0),
                        engine.volume(1, 0),
                        7,
                        1,
                        0,
                        0,
                        1000,
                        false);
        engine.onArrival(operation);
        engine.runDueWork(0);
        engine.runDueWork(0);
        Attempt attempt = sent.get(0);
        assertEquals(1, attempt.node.id);
        assertEquals(List.of(), engine.onEndpointList(List.of(entry(2, 1)), true, 100));
        assertEquals(
                List.of(),
                engine.onEndpointList(List.of(entry(3, 0)), false, 40_000),
                "its attempt is still in flight");
        attempt.outcome = Outcome.SERVED;
        engine.onAttemptEnded(attempt, true, 40_000);
        assertEquals(
                List.of(attempt.node), engine.onEndpointList(List.of(entry(4, 2)), false, 40_001));
        assertEquals(3, engine.nodes().size());
    }

    @Test
    void endpointListedAgainWithinThirtySecondsKeepsItsNode() {
        engine.onEndpointList(List.of(entry(1, 0)), true, 0);
        Node node = engine.nodes().iterator().next();
        engine.onEndpointList(List.of(), true, 1000);
        engine.onEndpointList(List.of(entry(1, 0)), true, 20_000);
        assertEquals(List.of(), engine.onEndpointList(List.of(entry(2, 1)), false, 60_000));
        assertEquals(node, engine.nodes().iterator().next());
        assertEquals(Node.Phase.READY, node.phase);
    }

    private static EndpointEntry entry(int node, int cell) {
        return new EndpointEntry(0, cell, node, Node.Phase.READY, Double.NEGATIVE_INFINITY, 0, 1);
    }
}
