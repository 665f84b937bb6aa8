package sagepulley.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sagepulley.accounts.LatencyReport;
import sagepulley.config.SiteConfigException;
import sagepulley.scenario.AttributionExperiment;
import sagepulley.scenario.ScenarioException;

/** Checks the causes that the accounts report against scenarios whose causes are known. */
@Command(
        name = "truth",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description =
                "Runs scenarios with known causes through real gateways on loopback, with several seeds, and "
                        + "reports whether the accounts name those causes; exits with 1 if a wrong cause is "
                        + "named with high confidence.")
final class TruthCommand implements Callable<Integer> {
    @Option(
            names = "--kinds",
            split = ",",
            paramLabel = "KIND",
            description = "scenarios to run (default: all)")
    private List<String> kinds = AttributionExperiment.KINDS;

    @Option(
            names = "--seeds",
            defaultValue = "3",
            paramLabel = "N",
            description = "seeds for each scenario (default: ${DEFAULT-VALUE})")
    private int seeds;

    @Option(names = "--json", description = "prints the rows as JSON")
    private boolean json;

    @Override
    public Integer call() throws ScenarioException, SiteConfigException, JsonProcessingException {
        List<AttributionExperiment.Row> rows = new ArrayList<>();
        if (!json) {
            printHeader();
        }
        for (String kind : kinds) {
            for (int seed = 1; seed <= seeds; seed++) {
                for (AttributionExperiment.Row row : AttributionExperiment.run(kind, seed)) {
                    rows.add(row);
                    if (!json) {
                        print(row);
                    }
                }
            }
        }
        if (json) {
            System.out.println(new JsonMapper().writeValueAsString(rows));
        } else {
            printSummary(rows);
        }
        return rows.stream().anyMatch(AttributionExperiment.Row::falseBlame)
                ? Commands.FAILED
                : Commands.OK;
    }

    private static void printHeader() {
        System.out.println(
                "| day | seed | volume | right | named first | share | confidence | second | hit | false blame | rules |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    }

    private static void print(AttributionExperiment.Row row) {
        System.out.printf(
                "| %s | %d | %s | %s | %s | %.0f %% | %s | %s | %s | %s | %s |%n",
                row.scenario(),
                row.seed(),
                row.volume(),
                String.join(" or ", row.expected()),
                row.named(),
                100 * row.share(),
                row.confidence() == null ? "-" : AccountFormatter.label(row.confidence()),
                row.second(),
                row.hit() ? "yes" : "NO",
                row.falseBlame() ? "YES" : "no",
                row.rulesSatisfied() ? "kept" : "BROKEN");
    }

    private static void printSummary(List<AttributionExperiment.Row> rows) {
        System.out.printf(
                "%d of %d hit, %d of them with high confidence, false blame %d%n",
                rows.stream().filter(AttributionExperiment.Row::hit).count(),
                rows.size(),
                rows.stream()
                        .filter(AttributionExperiment.Row::hit)
                        .filter(row -> row.confidence() == LatencyReport.Confidence.HIGH)
                        .count(),
                rows.stream().filter(AttributionExperiment.Row::falseBlame).count());
    }
}
