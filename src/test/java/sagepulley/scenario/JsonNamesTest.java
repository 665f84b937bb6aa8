package sagepulley.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import sagepulley.accounts.LatencyReport;

/** Guards the field names and their order in the output of the commands with --json. */
class JsonNamesTest {
    private final JsonMapper mapper = new JsonMapper();

    @Test
    void scenarioResultKeepsJsonNamesAndOrder() throws Exception {
        RuleVerdict verdict = new RuleVerdict("a rule", true, "3", "4", List.of());
        ScenarioRunner.Result result =
                new ScenarioRunner.Result(
                        "a day", List.of(verdict), Map.of("vol", 0.5), List.of(), 7, 8, 1.5);
        assertEquals(
                "{\"day\":\"a day\",\"verdicts\":[{\"rule\":\"a rule\",\"kept\":true,"
                        + "\"figure\":\"3\",\"bound\":\"4\",\"breaches\":[]}],"
                        + "\"service\":{\"vol\":0.5},\"unmet\":[],\"requests\":7,"
                        + "\"attempts\":8,\"stoodStill\":1.5}",
                mapper.writeValueAsString(result));
    }

    @Test
    void attributionRowKeepsJsonNamesAndOrder() throws Exception {
        AttributionExperiment.Row row =
                new AttributionExperiment.Row(
                        "flood",
                        1,
                        "vol",
                        List.of("neighbour:x"),
                        "neighbour:x",
                        0.9,
                        LatencyReport.Confidence.HIGH,
                        "",
                        true,
                        false,
                        true);
        assertEquals(
                "{\"day\":\"flood\",\"seed\":1,\"volume\":\"vol\","
                        + "\"right\":[\"neighbour:x\"],\"named\":\"neighbour:x\",\"share\":0.9,"
                        + "\"confidence\":\"HIGH\",\"second\":\"\",\"hit\":true,"
                        + "\"falseBlame\":false,\"rulesKept\":true}",
                mapper.writeValueAsString(row));
    }
}
