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

/** Plays one scripted scenario and prints how the rules were kept. */
@Command(
        name = "drill",
        mixinStandardHelpOptions = true,
        description =
                "Plays a scripted bad day through real gateways on loopback, and judges the seven rules by "
                        + "what passed on the sockets; exits with 1 if one was broken or an expectation not met.")
final class DrillCommand implements Callable<Integer> {
    @Parameters(
            paramLabel = "DAY",
            description =
                    "a script, or the name of a day that comes with the program: "
                            + "bad-evening, cold-halls, lost-answers, long-surge, causes/flood and others")
    private String scenarioName;

    @Option(names = "--json", description = "prints the result as JSON")
    private boolean json;

    @Option(
            names = "--accounts",
            paramLabel = "FOLDER",
            description =
                    "writes the gateways' latency accounts there at the day's end, for 'report'")
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
                result.day()
                        + ": "
                        + result.requests()
                        + " requests, "
                        + result.attempts()
                        + " hops");
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
        result.unmet().forEach(System.out::println);
        return result.passed() ? Commands.OK : Commands.FAILED;
    }
}
