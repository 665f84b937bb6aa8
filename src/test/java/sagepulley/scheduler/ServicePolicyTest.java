package sagepulley.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import sagepulley.model.Attempt;
import sagepulley.model.Node;
import sagepulley.model.Operation;
import sagepulley.model.Outcome;
import sagepulley.model.Volume;

/** Tests each rule of the service policy. */
class ServicePolicyTest {
    @ParameterizedTest
    @CsvSource({"0", "1", "2", "3", "4", "5"})
    void everyOperationIsAnsweredBeforeItsDeadline(int classIndex) {
        SchedulerHarness harness = new SchedulerHarness(1);
        Operation sent = harness.submit(classIndex, 0);
        Operation unplaced = harness.submit(classIndex, 7);
        harness.advanceClock(sent.trafficClass.deadline() - 2);
        assertTrue(unplaced.ended, "an operation whose shard no node holds");
        harness.endAttempt(harness.lastAttempt(sent), Outcome.TIMED_OUT);
        assertTrue(sent.ended, "an operation whose only attempt timed out");
        assertEquals(2, harness.rejected.size() + harness.abandoned.size());
    }

    @ParameterizedTest
    @EnumSource(Outcome.class)
    void aNonIdempotentOperationIsRetriedOnlyAfterProofOfNoExecution(Outcome outcome) {
        SchedulerHarness harness = new SchedulerHarness(2);
        Operation operation = harness.submit(SchedulerHarness.NON_IDEMPOTENT, -1);
        harness.endAttempt(harness.lastAttempt(operation), outcome);
        harness.advanceClock(100);
        if (!outcome.provesNotExecuted) {
            assertEquals(1, operation.attempts.size());
            assertTrue(harness.rejected.isEmpty());
        } else {
            assertTrue(operation.attempts.size() > 1);
        }
    }

    /** The rules may forbid an attempt while it waits for its connection. */
    @Test
    void aDelayedAttemptStartsOnlyWhileTheRulesStillAllowIt() {
        SchedulerHarness harness = new SchedulerHarness(2);
        Operation drained = harness.submit(SchedulerHarness.READ, 0);
        Operation clientCancelled = harness.submit(SchedulerHarness.READ, 1);
        Operation retried = harness.submit(SchedulerHarness.DEDUPLICATED, 1);
        Operation nonIdempotent = harness.submit(SchedulerHarness.NON_IDEMPOTENT, 0);
        harness.advanceClock(10);
        for (Operation operation : List.of(drained, clientCancelled, retried, nonIdempotent)) {
            assertTrue(harness.scheduler.mayStart(harness.lastAttempt(operation), harness.now));
        }
        harness.endAttempt(harness.lastAttempt(retried), Outcome.RESET);
        assertEquals(2, retried.attempts.size(), "sent again within the deduplication window");
        assertTrue(harness.scheduler.mayStart(harness.lastAttempt(retried), harness.now));
        double deduplicationEnd =
                retried.attempts.get(0).sentAt + retried.trafficClass.deduplicationWindow();
        assertFalse(
                harness.scheduler.mayStart(harness.lastAttempt(retried), deduplicationEnd),
                "a retry does not start after the deduplication window");
        harness.endAttempt(harness.lastAttempt(nonIdempotent), Outcome.REJECTED);
        assertTrue(
                harness.scheduler.mayStart(harness.lastAttempt(nonIdempotent), harness.now),
                "the first attempt proves that it was not executed");
        assertEquals(2, nonIdempotent.attempts.size());
        nonIdempotent.attempts.get(0).outcome = Outcome.RESET;
        assertFalse(
                harness.scheduler.mayStart(harness.lastAttempt(nonIdempotent), harness.now),
                "a retry does not start while the first attempt may have been executed");
        harness.nodes.get(0).phase = Node.Phase.DRAINING;
        harness.updateEndpointList();
        assertFalse(harness.scheduler.mayStart(harness.lastAttempt(drained), harness.now));
        harness.cancel(clientCancelled);
        assertFalse(harness.scheduler.mayStart(harness.lastAttempt(clientCancelled), harness.now));
    }

    @Test
    void aDrainingEndpointGetsNoNewAttempts() {
        SchedulerHarness harness = new SchedulerHarness(2);
        harness.nodes.get(0).phase = Node.Phase.DRAINING;
        harness.updateEndpointList();
        for (int i = 0; i < 4; i++) {
            harness.submit(SchedulerHarness.WRITE, -1);
            harness.submit(SchedulerHarness.READ, 0);
        }
        assertEquals(4, harness.sent.size());
        assertTrue(harness.sent.stream().allMatch(attempt -> attempt.node == harness.nodes.get(1)));
    }

    /** The total demand of all gateways is what the endpoint serves when warm. */
    @ParameterizedTest
    @CsvSource({"1", "3", "40"})
    void allGatewaysTogetherStayWithinTheSlowStartLimit(int gateways) {
        List<SchedulerHarness> harnesses = new ArrayList<>();
        for (int gatewayIndex = 0; gatewayIndex < gateways; gatewayIndex++) {
            harnesses.add(new SchedulerHarness(1, gatewayIndex, gateways, false, Double.NaN));
        }
        double[] sent = new double[200];
        for (int turn = 0; turn < 1800; turn++) {
            SchedulerHarness harness = harnesses.get(turn % gateways);
            harness.advanceClock(10.0 * gateways);
            if (turn / gateways == 400 / gateways) {
                harness.nodes.get(0).startedAt = harness.now;
                harness.updateEndpointList();
            }
            harness.submit(SchedulerHarness.READ, 0);
            for (Attempt attempt : List.copyOf(harness.sent)) {
                sent[(int) ((harness.now - 100_000) / 500)] += attempt.operation.units;
                harness.sent.remove(attempt);
                harness.endAttempt(attempt, Outcome.SERVED);
            }
        }
        double warmUnits = 200 / 2.0;
        for (int i = 9; i < 28; i++) {
            double ramp = 0.25 + 0.75 * Math.max(0, (i - 9) * 500) / 10_000;
            double window = sent[i] + sent[i + 1] + sent[i + 2] + sent[i + 3];
            assertTrue(window <= 2 * ramp * 4 * warmUnits, window + " units in the window " + i);
            assertTrue(window > 0, "an endpoint in slow start is used all the time");
        }
        assertEquals(
                4 * warmUnits,
                sent[30] + sent[31] + sent[32] + sent[33],
                warmUnits / 2,
                "a warm endpoint is no longer limited");
    }

    /**
     * Guards against the overload of an endpoint in slow start when traffic is uneven, a burst
     * arrives and half of the gateways restart after the endpoint. The bound allows for random
     * variation.
     */
    @ParameterizedTest
    @CsvSource({"20, 1", "30, 1", "30, 1.5", "100, 1.5"})
    void unevenAndRestartedGatewaysNeverOverloadAnEndpointInSlowStart(int gateways, double burst) {
        double warmUnits = 100;
        double step = 10;
        RandomGenerator random = new SplittableRandom(5L * gateways);
        SchedulerHarness[] harnesses = new SchedulerHarness[gateways];
        double[] weight = new double[gateways];
        double totalWeight = 0;
        for (int gatewayIndex = 0; gatewayIndex < gateways; gatewayIndex++) {
            harnesses[gatewayIndex] =
                    new SchedulerHarness(2, gatewayIndex, gateways, false, Double.NaN);
            weight[gatewayIndex] = 1.0 / (gatewayIndex + 1);
            totalWeight += weight[gatewayIndex];
        }
        double startedAt = 110_000;
        List<Double> sentAt = new ArrayList<>();
        for (double now = 100_000; now < 122_000; now += step) {
            for (int gatewayIndex = 0; gatewayIndex < gateways; gatewayIndex++) {
                SchedulerHarness harness = harnesses[gatewayIndex];
                if (now == startedAt) {
                    harness.nodes.get(0).startedAt = startedAt;
                    harness.updateEndpointList();
                } else if (now == startedAt + 100 * (gatewayIndex + 1) && gatewayIndex % 2 == 0) {
                    harness = new SchedulerHarness(2, gatewayIndex, gateways, false, Double.NaN);
                    harness.advanceClock(now - harness.now);
                    harness.nodes.get(0).startedAt = startedAt;
                    harness.updateEndpointList();
                    harnesses[gatewayIndex] = harness;
                }
                harness.advanceClock(step);
            }
            double rate = warmUnits / SchedulerHarness.UNITS * (now >= startedAt ? burst : 1);
            for (double due = rate * step / 1000; random.nextDouble() < due; due--) {
                double pick = random.nextDouble() * totalWeight;
                int gatewayIndex = 0;
                for (;
                        gatewayIndex < gateways - 1 && pick >= weight[gatewayIndex];
                        gatewayIndex++) {
                    pick -= weight[gatewayIndex];
                }
                harnesses[gatewayIndex].submit(SchedulerHarness.READ, 0);
            }
            for (SchedulerHarness harness : harnesses) {
                for (Attempt attempt : List.copyOf(harness.sent)) {
                    if (now >= startedAt && attempt.node == harness.nodes.get(0)) {
                        sentAt.add(now);
                    }
                    harness.sent.remove(attempt);
                    harness.endAttempt(attempt, Outcome.SERVED);
                }
            }
        }
        for (double from = startedAt; from < startedAt + 8_000; from += 100) {
            double start = from;
            long sent = sentAt.stream().filter(at -> at >= start && at < start + 2_000).count();
            double ramp = 0.25 + 0.75 * (start - startedAt) / 10_000;
            double allowed = 2 * ramp * warmUnits / SchedulerHarness.UNITS * 2;
            assertTrue(
                    sent <= allowed + 2 * Math.sqrt(allowed) + 2,
                    sent + " sent from " + start + ", allowed " + allowed);
            assertTrue(sent > 0, "an endpoint in slow start is used all the time");
        }
    }

    @Test
    void aSurgeInSlowStartIsCappedAndNothingAboveTheShareIsSent() {
        SchedulerHarness harness = new SchedulerHarness(2);
        harness.nodes.get(0).startedAt = harness.now;
        harness.updateEndpointList();
        double units = 0;
        for (int i = 0; i < 60; i++) {
            Operation read = harness.submit(SchedulerHarness.READ, 0);
            if (!read.attempts.isEmpty()) {
                units += read.units;
                harness.endAttempt(harness.lastAttempt(read), Outcome.SERVED);
            }
        }
        assertTrue(units > 0 && units <= harness.deployment.maxUnits(), "sent " + units);
        harness.advanceClock(5000);
        Volume surging = harness.volume(0);
        int sent = 0;
        for (int i = 0; i < 60; i++) {
            Operation read = harness.submit(SchedulerHarness.READ, surging, 2000 + i, 1, 0);
            sent += read.attempts.size();
            if (!read.attempts.isEmpty()) {
                harness.endAttempt(harness.lastAttempt(read), Outcome.SERVED);
            }
        }
        assertTrue(sent > 0 && sent <= 4, "sent " + sent);
    }

    @Test
    void aNonIdempotentOperationThatMayHaveExecutedIsAbandonedNotRejected() {
        SchedulerHarness harness = new SchedulerHarness(1);
        Operation operation = harness.submit(SchedulerHarness.NON_IDEMPOTENT, 0);
        harness.advanceClock(100);
        harness.endAttempt(harness.lastAttempt(operation), Outcome.RESET);
        harness.advanceClock(400);
        assertEquals(List.of(operation), harness.abandoned);
        assertTrue(harness.rejected.isEmpty());
    }

    @Test
    void orderedOperationsOfAKeyRunOneByOneWithIdleTimeAfterATimeout() {
        SchedulerHarness harness = new SchedulerHarness(1);
        Volume volume = harness.volume(0);
        Operation first = harness.submit(SchedulerHarness.ORDERED, volume, 77, 2, 0);
        Operation second = harness.submit(SchedulerHarness.ORDERED, volume, 77, 2, 0);
        Operation other = harness.submit(SchedulerHarness.READ, 0);
        assertEquals(2, harness.sent.size());
        first.ended = true;
        harness.scheduler.onClientCancelled(first, harness.now);
        harness.endAttempt(harness.lastAttempt(first), Outcome.TIMED_OUT);
        harness.endAttempt(harness.lastAttempt(other), Outcome.SERVED);
        harness.advanceClock(150);
        assertTrue(second.attempts.isEmpty(), "the key is idle");
        harness.advanceClock(60);
        assertEquals(1, second.attempts.size());
    }

    @Test
    void aVolumeStaysWithinThisGatewaysPartOfItsLimit() {
        SchedulerHarness harness = new SchedulerHarness(4);
        Volume volume = harness.volume(2);
        volume.gatewayCount = 2;
        double units = 0;
        for (int i = 0; i < 100; i++) {
            harness.submit(SchedulerHarness.WRITE, volume, 1000 + i, 2, -1);
            harness.advanceClock(20);
            while (!harness.sent.isEmpty()) {
                units += harness.sent.get(0).operation.units;
                harness.endAttempt(harness.sent.remove(0), Outcome.SERVED);
            }
        }
        assertTrue(units > 4 && units <= 10 / 2.0 * 2 + 0.1, "sent " + units);
    }

    @Test
    void retriesStayWithinTheRetryBudgetOfTheWindow() {
        SchedulerHarness harness = new SchedulerHarness(1, 0, 1, false, 1);
        List<Operation> submitted = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            submitted.add(harness.submit(SchedulerHarness.BULK, 0));
        }
        for (Operation operation : submitted) {
            harness.endAttempt(harness.lastAttempt(operation), Outcome.NO_CONNECTION);
            harness.advanceClock(302);
        }
        assertEquals(
                1, submitted.stream().mapToInt(operation -> operation.attempts.size() - 1).sum());
        harness.advanceClock(200);
        assertEquals(
                2,
                submitted.stream().mapToInt(operation -> operation.attempts.size() - 1).sum(),
                "one more retry a window later");
    }

    @Test
    void aDeduplicatedOperationIsRetriedOnlyInItsScopeAndWindow() {
        SchedulerHarness harness = new SchedulerHarness(2);
        Operation deduplicated = harness.submit(SchedulerHarness.DEDUPLICATED, -1);
        Node first = harness.lastAttempt(deduplicated).node;
        harness.endAttempt(harness.lastAttempt(deduplicated), Outcome.FAILED);
        harness.advanceClock(100);
        assertTrue(deduplicated.attempts.stream().allMatch(attempt -> attempt.node == first));
        assertTrue(harness.rejected.isEmpty(), "a rejection would promise that a retry is safe");
        harness.advanceClock(2000);
        assertTrue(
                deduplicated.ended
                        || deduplicated.attempts.get(deduplicated.attempts.size() - 1).outcome
                                == null);
        Operation expired = harness.submit(SchedulerHarness.DEDUPLICATED, 0);
        harness.advanceClock(1100);
        int attempts = expired.attempts.size();
        harness.endAttempt(harness.lastAttempt(expired), Outcome.TIMED_OUT);
        harness.advanceClock(500);
        assertEquals(attempts, expired.attempts.size(), "the deduplication window is over");
    }

    @Test
    void noHedgedRequestWhereNotAllowedAndNoThirdRetry() {
        SchedulerHarness harness = new SchedulerHarness(1);
        Operation operation = harness.submit(SchedulerHarness.BULK, 0);
        for (int i = 0; i < 5 && !operation.ended; i++) {
            harness.runDueWork();
            assertTrue(
                    operation.attempts.stream().filter(attempt -> attempt.outcome == null).count()
                            <= 1);
            harness.endAttempt(harness.lastAttempt(operation), Outcome.FAILED);
        }
        assertTrue(operation.ended);
        assertEquals(3, operation.attempts.size());
        assertEquals(1, harness.rejected.size());
    }

    @Test
    void nothingIsSentForAnOperationThatHasEnded() {
        SchedulerHarness harness = new SchedulerHarness(1);
        for (int i = 0; i < 4; i++) {
            harness.submit(SchedulerHarness.READ, 0);
        }
        Operation waiting = harness.submit(SchedulerHarness.READ, 0);
        harness.cancel(waiting);
        harness.endAttempt(harness.sent.get(0), Outcome.SERVED);
        harness.advanceClock(100);
        assertTrue(waiting.attempts.isEmpty());
    }
}
