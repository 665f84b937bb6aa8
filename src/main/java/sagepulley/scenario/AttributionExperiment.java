package sagepulley.scenario;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sagepulley.accounts.Cause;
import sagepulley.accounts.FleetMerger;
import sagepulley.accounts.LatencyAccount;
import sagepulley.accounts.LatencyReport;
import sagepulley.config.SiteConfigException;
import sagepulley.persistence.GatewayAccounts;

/** Runs scenarios with known faults and checks the main causes that the accounts report. */
public final class AttributionExperiment {
    /** The built-in scenarios with known causes. */
    public static final List<String> KINDS =
            List.of(
                    "flood",
                    "slow-node",
                    "flood-and-slow-node",
                    "silent-node",
                    "cold-restart",
                    "hall-cut",
                    "own-surge",
                    "limit",
                    "directory-lag",
                    "deferred-writes",
                    "flood-elsewhere");

    /**
     * The result for one volume of one scenario. The components are the fields of the JSON output.
     *
     * @param expected the accepted main causes
     * @param named the main cause that the accounts report; "nothing" if there is none
     * @param share the reported share of the main cause
     * @param second the next cause; empty if there is none
     * @param hit whether the main cause is an accepted one
     * @param falseBlame whether another cause was reported with high confidence, in the merged
     *     accounts or in those of any single gateway
     * @param rulesSatisfied whether the gateways followed all rules
     */
    public record Row(
            @JsonProperty("day") String scenario,
            long seed,
            String volume,
            @JsonProperty("right") List<String> expected,
            String named,
            double share,
            LatencyReport.Confidence confidence,
            String second,
            boolean hit,
            boolean falseBlame,
            @JsonProperty("rulesKept") boolean rulesSatisfied) {}

    private AttributionExperiment() {}

    /** Runs one scenario with a seed and returns a row for each volume with a known cause. */
    public static List<Row> run(String kind, long seed)
            throws ScenarioException, SiteConfigException {
        Scenario scenario =
                ScenarioReader.read(
                        kind,
                        ScenarioRunner.builtIn("causes/" + kind)
                                .replace("seed 1\n", "seed " + seed + "\n"));
        ScenarioRunner runner = new ScenarioRunner(scenario);
        ScenarioRunner.Result result = runner.run();
        boolean rulesSatisfied = result.verdicts().stream().allMatch(RuleVerdict::satisfied);
        Map<Long, String> volumeNames = new HashMap<>();
        List<FleetMerger.GatewayAccount> members = new ArrayList<>();
        for (GatewayAccounts gatewayAccounts : runner.accounts()) {
            volumeNames.putAll(gatewayAccounts.volumeNames());
            members.add(
                    new FleetMerger.GatewayAccount(
                            gatewayAccounts.gateway(),
                            gatewayAccounts.accounts().toAccount(),
                            gatewayAccounts.versionNotifiedAt()));
        }
        LatencyAccount merged = FleetMerger.merge(members).account();
        List<Row> rows = new ArrayList<>();
        for (Scenario.KnownCause knownCause : scenario.causes()) {
            long volume = volumeId(knownCause.volume(), volumeNames);
            LatencyReport report = report(merged, volume);
            LatencyReport.CauseReport mainCause = report.mainCause();
            boolean falseBlame = namesWrongCause(knownCause, mainCause, volumeNames);
            for (FleetMerger.GatewayAccount member : members) {
                falseBlame |=
                        namesWrongCause(
                                knownCause,
                                report(member.account(), volume).mainCause(),
                                volumeNames);
            }
            rows.add(
                    new Row(
                            kind,
                            seed,
                            knownCause.volume(),
                            knownCause.causes(),
                            causeName(mainCause, volumeNames),
                            mainCause == null ? 0 : mainCause.share(),
                            mainCause == null ? null : mainCause.confidence(),
                            secondCause(report, volumeNames),
                            mainCause != null && isExpected(knownCause, mainCause, volumeNames),
                            falseBlame,
                            rulesSatisfied));
        }
        return rows;
    }

    private static LatencyReport report(LatencyAccount account, long volume) {
        return account.report(volume, 0, Double.MAX_VALUE / 2);
    }

    private static long volumeId(String name, Map<Long, String> volumeNames)
            throws SiteConfigException {
        return volumeNames.entrySet().stream()
                .filter(entry -> entry.getValue().equals(name))
                .findFirst()
                .orElseThrow(
                        () -> new SiteConfigException("no volume in the accounts is named " + name))
                .getKey();
    }

    private static String secondCause(LatencyReport report, Map<Long, String> volumeNames) {
        return report.causes().stream()
                .filter(cause -> cause.kind() != Cause.Kind.OWN_WORK)
                .skip(1)
                .findFirst()
                .map(cause -> causeName(cause, volumeNames))
                .orElse("");
    }

    private static boolean namesWrongCause(
            Scenario.KnownCause knownCause,
            LatencyReport.CauseReport mainCause,
            Map<Long, String> volumeNames) {
        return mainCause != null
                && mainCause.confidence() == LatencyReport.Confidence.HIGH
                && !isExpected(knownCause, mainCause, volumeNames);
    }

    private static boolean isExpected(
            Scenario.KnownCause knownCause,
            LatencyReport.CauseReport mainCause,
            Map<Long, String> volumeNames) {
        String mainName = causeName(mainCause, volumeNames);
        return knownCause.causes().stream()
                .anyMatch(
                        expectedCause ->
                                mainName.equals(expectedCause)
                                        || mainName.startsWith(expectedCause + ":"));
    }

    /** Returns a cause as scripts write it: the kind, with a volume or node if it has one. */
    private static String causeName(
            LatencyReport.CauseReport cause, Map<Long, String> volumeNames) {
        if (cause == null) {
            return "nothing";
        }
        String kind = cause.kind().externalName();
        return switch (cause.kind()) {
            case NEIGHBOUR, PAUSE ->
                    kind + ":" + volumeNames.getOrDefault(cause.volume(), "" + cause.volume());
            case SLOW_NODE, WARMING_UP_NODE, FAULT, NETWORK -> kind + ":" + cause.node();
            default -> kind;
        };
    }
}
