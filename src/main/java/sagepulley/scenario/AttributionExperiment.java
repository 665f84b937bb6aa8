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

/** Plays scenarios whose faults are known, and compares what the accounts name as main causes. */
public final class AttributionExperiment {
    /** The scenarios that come with the program, one for each kind of cause. */
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
     * One volume of one scenario: the causes that are right, the one named first and the second,
     * whether that is a hit, and whether a wrong one was named with high confidence, by all
     * gateways' accounts or by any one's alone.
     */
    public record Row(
            String day,
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

    /** Plays one scenario with a seed of its own. */
    public static List<Row> play(String kind, long seed)
            throws ScenarioException, SiteConfigException {
        Scenario scenario =
                ScenarioReader.read(
                        kind,
                        ScenarioRunner.builtIn("causes/" + kind)
                                .replace("seed 1\n", "seed " + seed + "\n"));
        ScenarioRunner runner = new ScenarioRunner(scenario);
        ScenarioRunner.Result result = runner.run();
        boolean rulesSatisfied = result.verdicts().stream().allMatch(RuleVerdict::satisfied);
        Map<Long, String> names = new HashMap<>();
        List<FleetMerger.GatewayAccount> members = new ArrayList<>();
        for (GatewayAccounts book : runner.accounts()) {
            names.putAll(book.volumeNames());
            members.add(
                    new FleetMerger.GatewayAccount(
                            book.gateway(), book.accounts().toAccount(), book.versionNotifiedAt()));
        }
        LatencyAccount merged = FleetMerger.merge(members).account();
        List<Row> rows = new ArrayList<>();
        for (Scenario.KnownCause known : scenario.causes()) {
            long volume = volumeNumber(known.volume(), names);
            LatencyReport report = report(merged, volume);
            LatencyReport.CauseReport main = report.mainCause();
            boolean falseBlame = namesWrongCause(known, main, names);
            for (FleetMerger.GatewayAccount member : members) {
                falseBlame |=
                        namesWrongCause(known, report(member.account(), volume).mainCause(), names);
            }
            rows.add(
                    new Row(
                            kind,
                            seed,
                            known.volume(),
                            known.causes(),
                            name(main, names),
                            main == null ? 0 : main.share(),
                            main == null ? null : main.confidence(),
                            secondCause(report, names),
                            main != null && isExpected(known, main, names),
                            falseBlame,
                            rulesSatisfied));
        }
        return rows;
    }

    private static LatencyReport report(LatencyAccount account, long volume) {
        return account.report(volume, 0, Double.MAX_VALUE / 2);
    }

    private static long volumeNumber(String name, Map<Long, String> names)
            throws SiteConfigException {
        return names.entrySet().stream()
                .filter(entry -> entry.getValue().equals(name))
                .findFirst()
                .orElseThrow(() -> new SiteConfigException("no volume is called " + name))
                .getKey();
    }

    private static String secondCause(LatencyReport report, Map<Long, String> names) {
        return report.causes().stream()
                .filter(charged -> charged.kind() != Cause.Kind.OWN_WORK)
                .skip(1)
                .findFirst()
                .map(charged -> name(charged, names))
                .orElse("");
    }

    private static boolean namesWrongCause(
            Scenario.KnownCause known, LatencyReport.CauseReport main, Map<Long, String> names) {
        return main != null
                && main.confidence() == LatencyReport.Confidence.HIGH
                && !isExpected(known, main, names);
    }

    private static boolean isExpected(
            Scenario.KnownCause known, LatencyReport.CauseReport main, Map<Long, String> names) {
        String name = name(main, names);
        return known.causes().stream()
                .anyMatch(right -> name.equals(right) || name.startsWith(right + ":"));
    }

    /** As scripts write causes: the kind, and a volume's name or a node where it has one. */
    private static String name(LatencyReport.CauseReport charged, Map<Long, String> names) {
        if (charged == null) {
            return "nothing";
        }
        String kind = charged.kind().externalName();
        return switch (charged.kind()) {
            case NEIGHBOUR, PAUSE ->
                    kind + ":" + names.getOrDefault(charged.volume(), "" + charged.volume());
            case SLOW_NODE, WARMING_UP_NODE, FAULT, NETWORK -> kind + ":" + charged.node();
            default -> kind;
        };
    }
}
