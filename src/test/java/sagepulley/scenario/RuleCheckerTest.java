package sagepulley.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.UnpooledByteBufAllocator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Isolated;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks that each broken rule is detected, and that the real gateway satisfies all rules. */
@Isolated(
        "the tolerance grows with stalls of this process; other tests could stall it until breaches are hidden")
class RuleCheckerTest {
    /**
     * Returns the script of a scenario of 1.5 s with one load, and additional lines. The text
     * "budget" in place of traffic class lines configures a retry budget.
     */
    private static String script(String trafficClassLines, String planLimits, String extraLines) {
        return """
                day "small"
                nodes 3 slots 2 queue 64 read 2 ms write 2 ms
                site {{
                [site]
                extent = 256 KiB
                unit = 16 KiB
                ask-within = 1 s
                [rules]
                drain-grace = 200 ms
                cold-time = 5 s
                fall-time = 400 ms
                cold-units = 8
                %s
                [band read]
                target = 200 ms
                patience = 500 ms
                [band write]
                writes = yes
                target = 200 ms
                patience = 500 ms
                %s
                [plan only]
                rate = 100
                %s
                [volume vol]
                id = 1
                size = 8 MiB
                plan = only
                read-band = read
                write-band = write
                }}
                load some on vol 150 a second reads 40 %% over 4 extents
                %s
                end at 1500 ms
                """
                .formatted(
                        trafficClassLines.equals("budget")
                                ? "budget-window = 1 s\nbudget-free = 2\nbudget-share = 0.1"
                                : "",
                        trafficClassLines.equals("budget") ? "" : trafficClassLines,
                        planLimits,
                        extraLines);
    }

    @ParameterizedTest
    @CsvSource({
        "0, LATE_ANSWER, '', '', ''",
        "0, ATTEMPT_AFTER_ANSWER, '', '', ''",
        "1, CONCURRENT_ATTEMPTS, 'repeats = unrepeatable', '', ''",
        "2, NONE, '', '', 'at 300 ms node 1 drains'",
        "3, NONE, '', '', 'nodes 3 read 8 ms write 8 ms  at 300 ms all nodes restarts cold  load more on vol 800 a second'",
        "4, NONE, 'in-order = yes', '', ''",
        "5, EXTRA_RETRIES, 'budget', '', ''",
        "6, NONE, '', 'limit = 20|limit-burst = 10|limit-slack = 4', ''",
        "7, DROPPED_WRITES, '', '', ''",
    })
    void detectsRuleBrokenByMisbehavingGateway(
            int rule,
            MisbehavingGateway.Misbehavior misbehavior,
            String trafficClassLines,
            String planLimits,
            String extraLines)
            throws Exception {
        Scenario scenario =
                ScenarioReader.read(
                        "small",
                        script(trafficClassLines, planLimits.replace('|', '\n'), extraLines));
        ScenarioRunner.Result result =
                new ScenarioRunner(scenario, new MisbehavingGateway(misbehavior)).run();
        assertFalse(
                result.verdicts().get(rule).satisfied(), result.verdicts().get(rule).toString());
        assertFalse(result.passed());
        // The real gateway satisfies all rules in the same scenario.
        ScenarioRunner.Result realResult = new ScenarioRunner(scenario).run();
        realResult
                .verdicts()
                .forEach(verdict -> assertTrue(verdict.satisfied(), verdict.toString()));
        assertTrue(realResult.requests() > 50);
    }

    @Test
    void badEveningScenarioSatisfiesAllRules() throws Exception {
        Scenario scenario =
                ScenarioReader.read("bad-evening", ScenarioRunner.builtIn("bad-evening"));
        ScenarioRunner.Result result = new ScenarioRunner(scenario).run();
        result.verdicts().forEach(verdict -> assertTrue(verdict.satisfied(), verdict.toString()));
        assertEquals(java.util.List.of(), result.unmetExpectations());
    }

    @Test
    void blockHistoryReportsStaleAndTornReads() {
        BlockHistory history = new BlockHistory();
        BlockHistory.Write first = history.begin(1, 0, 4096, 10);
        BlockHistory.Write second = history.begin(1, 0, 4096, 30);
        ByteBuf firstData = BlockHistory.payload(UnpooledByteBufAllocator.DEFAULT, first, 4096);
        first.complete(20, false);
        history.check(1, 0, firstData, 35, 36); // the second write is not acknowledged yet
        second.complete(40, true);
        history.check(1, 0, firstData, 38, 45); // the read began before the acknowledgement
        assertEquals(0, history.breaches().size());
        history.check(
                1, 0, firstData, 50,
                55); // stale: the second write was acknowledged before the read
        assertEquals(1, history.breaches().size());
        history.check(1, 0, firstData.setLong(512, 99), 20, 25);
        assertTrue(history.breaches().get(1).contains("torn"));
        firstData.release();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "nodes 3 slots|x:1:14: ",
                "at 2 s node 9 silent|x:1:13: the node is 9, expected 1.0 to 6.0",
                "load l on v 5 a second size 5 KiB|x:1:24: the size is 5120 bytes",
                "at 1 s load nobody times 3|x:1:8: no load is named nobody",
                "gateways 1000|x:1:10: the number of gateways is 1000",
                "day 'single'|x:1:5: ",
            })
    void scriptErrorsNameLineAndColumn(String text, String expectedPrefix) {
        ScenarioException exception =
                org.junit.jupiter.api.Assertions.assertThrows(
                        ScenarioException.class, () -> ScenarioReader.read("x", text));
        assertTrue(exception.getMessage().startsWith(expectedPrefix), exception.getMessage());
    }
}
