package sagepulley.cli;

import com.fasterxml.jackson.databind.json.JsonMapper;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sagepulley.persistence.AccountFile;
import sagepulley.persistence.GatewayAccounts;
import sagepulley.scenario.RuleVerdict;
import sagepulley.scenario.Scenario;
import sagepulley.scenario.ScenarioReader;
import sagepulley.scenario.ScenarioRunner;

/** Runs a scripted scenario and prints the verdict on each rule. */
@Command(
        name = "drill",
        mixinStandardHelpOptions = true,
        description =
                "Runs a scripted failure scenario through real gateways on loopback and checks the seven "
                        + "rules against the recorded traffic; exits with 1 if a rule is violated or an "
                        + "expectation is not met.")
final class DrillCommand implements Callable<Integer> {
    @Parameters(
            paramLabel = "DAY",
            description =
                    "a script file, or the name of a built-in scenario: "
                            + "bad-evening, cold-halls, lost-answers, long-surge, causes/flood and others")
    private String scenarioName;

    @Option(names = "--json", description = "prints the result as JSON")
    private boolean json;

    @Option(
            names = "--accounts",
            paramLabel = "FOLDER",
            description = "writes the gateways' latency accounts there at the end, for 'report'")
    private Path accountsFolder;

    @Override
    public Integer call() throws Exception {
        Scenario scenario =
                Files.exists(Path.of(scenarioName))
                        ? ScenarioReader.read(Path.of(scenarioName))
                        : ScenarioReader.read(scenarioName, ScenarioRunner.builtIn(scenarioName));
        ScenarioRunner runner = new ScenarioRunner(scenario);
        ScenarioRunner.Result result = runner.run();
        if (accountsFolder != null) {
            for (GatewayAccounts snapshot : runner.accounts()) {
                new AccountFile(accountsFolder.resolve(snapshot.gateway()), snapshot.gateway())
                        .write(snapshot);
            }
        }
        if (json) {
            System.out.println(new JsonMapper().writeValueAsString(result));
            return result.passed() ? Commands.OK : Commands.FAILED;
        }
        System.out.println(
                result.scenario()
                        + ": "
                        + result.requests()
                        + " requests, "
                        + result.attempts()
                        + " attempts");
        for (RuleVerdict verdict : result.verdicts()) {
            System.out.printf(
                    "%-6s %-42s %s (bound: %s)%n",
                    verdict.satisfied() ? "kept" : "BROKEN",
                    verdict.rule(),
                    verdict.figure(),
                    verdict.bound());
            verdict.breaches().forEach(breach -> System.out.println("         " + breach));
        }
        result.service()
                .forEach(
                        (volume, share) ->
                                System.out.printf(
                                        "service of %-20s %5.1f %%%n", volume, 100 * share));
        result.unmetExpectations().forEach(System.out::println);
        return result.passed() ? Commands.OK : Commands.FAILED;
    }
}
