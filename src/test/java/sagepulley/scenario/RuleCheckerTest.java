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

/** The judge sees each rule broken, by a gateway made for it, and the real gateway keep them. */
@Isolated(
        "it allows for how late this machine runs, which other tests would make so late that no breach shows")
class RuleCheckerTest {
    /** A small day of 1.5 s with one load and whatever else is said. */
    private static String day(String band, String plan, String rest) {
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
                        band.equals("budget")
                                ? "budget-window = 1 s\nbudget-free = 2\nbudget-share = 0.1"
                                : "",
                        band.equals("budget") ? "" : band,
                        plan,
                        rest);
    }

    @ParameterizedTest
    @CsvSource({
        "0, LATE,          '',                        '',           ''",
        "0, AFTERWARDS,    '',                        '',           ''",
        "1, AT_ONCE_TWICE, 'repeats = unrepeatable',  '',           ''",
        "2, PLAIN,         '',                        '',           'at 300 ms node 1 drains'",
        "3, PLAIN, '', '', 'nodes 3 read 8 ms write 8 ms  at 300 ms all nodes restarts cold  load more on vol 800 a second'",
        "4, PLAIN,         'in-order = yes',          '',           ''",
        "5, THRICE,        'budget',                  '',           ''",
        "6, PLAIN, '', 'limit = 20|limit-burst = 10|limit-slack = 4', ''",
        "7, UNWRITTEN,     '',                        '',           ''",
    })
    void aGatewayThatBreaksARuleIsCaught(
            int rule, MisbehavingClient.Way way, String band, String plan, String rest)
            throws Exception {
        Scenario day = ScenarioReader.read("small", day(band, plan.replace('|', '\n'), rest));
        ScenarioRunner.Result result = new ScenarioRunner(day, new MisbehavingClient(way)).run();
        assertFalse(
                result.verdicts().get(rule).satisfied(), result.verdicts().get(rule).toString());
        assertFalse(result.passed());
        // The real one keeps the same rule on the same day.
        ScenarioRunner.Result real = new ScenarioRunner(day).run();
        real.verdicts().forEach(verdict -> assertTrue(verdict.satisfied(), verdict.toString()));
        assertTrue(real.requests() > 50);
    }

    @Test
    void theShortBadEveningKeepsAllRules() throws Exception {
        Scenario day = ScenarioReader.read("bad-evening", ScenarioRunner.builtIn("bad-evening"));
        ScenarioRunner.Result result = new ScenarioRunner(day).run();
        result.verdicts().forEach(verdict -> assertTrue(verdict.satisfied(), verdict.toString()));
        assertEquals(java.util.List.of(), result.unmet());
    }

    @Test
    void theHistoryKnowsWhatAReadMayShow() {
        BlockHistory history = new BlockHistory();
        BlockHistory.Write first = history.begin(1, 0, 4096, 10);
        BlockHistory.Write second = history.begin(1, 0, 4096, 30);
        ByteBuf old = BlockHistory.payload(UnpooledByteBufAllocator.DEFAULT, first, 4096);
        first.complete(20, false);
        history.check(1, 0, old, 35, 36); // the second is not acknowledged yet
        second.complete(40, true);
        history.check(1, 0, old, 38, 45); // asked before it was
        assertEquals(0, history.breaches().size());
        history.check(1, 0, old, 50, 55); // undone by a late attempt
        assertEquals(1, history.breaches().size());
        history.check(1, 0, old.setLong(512, 99), 20, 25);
        assertTrue(history.breaches().get(1).contains("torn"));
        old.release();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "nodes 3 slots|x:1:14: ",
                "at 2 s node 9 silent|x:1:13: the node is 9, allowed is 1.0 to 6.0",
                "load l on v 5 a second size 5 KiB|x:1:24: the size is 5120 bytes",
                "at 1 s load nobody times 3|x:1:8: no load is called nobody",
                "gateways 1000|x:1:10: the number of gateways is 1000",
                "day 'single'|x:1:5: ",
            })
    void aMistakeInAScriptIsReportedWithLineAndColumn(String text, String told) {
        ScenarioException error =
                org.junit.jupiter.api.Assertions.assertThrows(
                        ScenarioException.class, () -> ScenarioReader.read("x", text));
        assertTrue(error.getMessage().startsWith(told), error.getMessage());
    }
}
