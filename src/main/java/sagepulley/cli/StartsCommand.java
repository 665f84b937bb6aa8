package sagepulley.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sagepulley.config.SiteConfigException;
import sagepulley.scenario.ColdStartExperiment;
import sagepulley.scenario.ReconnectStorm;

/** Measures starts from a stored endpoint list without the directory, and reconnect storms. */
@Command(
        name = "starts",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description =
                "Starts gateways on loopback with the directory down, from stored lists of several "
                        + "ages in which some nodes have changed; compares the gateway's policy "
                        + "with using any list unchecked and with waiting for the directory. Also "
                        + "simulates many gateways that reconnect to one directory.")
final class StartsCommand implements Callable<Integer> {
    private static final double WEEK_HOURS = 7 * 24;
    private static final double[] LIST_AGES_HOURS = {1.0 / 60, 1, 23, WEEK_HOURS, 30 * 24};
    private static final int HALF_OF_NODES = 4;
    private static final int[] STORM_GATEWAYS = {16, 64, 1000};
    private static final double STORM_OUTAGE_MILLIS = 20_000;
    private static final double STORM_CALLS_PER_SECOND = 50;
    private static final int STORM_QUEUE_LIMIT = 20;

    @Option(
            names = "--folder",
            required = true,
            paramLabel = "FOLDER",
            description = "folder for the list files")
    private Path folder;

    @Option(
            names = "--seed",
            defaultValue = "1",
            description = "seed of the runs (default: ${DEFAULT-VALUE})")
    private long seed;

    @Override
    public Integer call() throws SiteConfigException, IOException {
        measureColdStarts();
        System.out.println();
        simulateReconnectStorms();
        return Commands.OK;
    }

    private void measureColdStarts() throws SiteConfigException, IOException {
        ColdStartExperiment experiment = new ColdStartExperiment(folder);
        System.out.println(
                "| list policy | age | changed nodes | attempts at drained or replaced "
                        + "| overloaded nodes | first served | service of remaining extents "
                        + "| of all extents |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- |");
        for (ColdStartExperiment.NodeChange nodeChange : ColdStartExperiment.NodeChange.values()) {
            int changed = nodeChange == ColdStartExperiment.NodeChange.NOTHING ? 0 : HALF_OF_NODES;
            for (double age : LIST_AGES_HOURS) {
                print(
                        experiment.run(
                                ColdStartExperiment.ListPolicy.BY_AGE,
                                age,
                                nodeChange,
                                changed,
                                seed));
            }
            if (nodeChange != ColdStartExperiment.NodeChange.NOTHING) {
                print(
                        experiment.run(
                                ColdStartExperiment.ListPolicy.BY_AGE,
                                WEEK_HOURS,
                                nodeChange,
                                2,
                                seed));
            }
            print(
                    experiment.run(
                            ColdStartExperiment.ListPolicy.BLINDLY,
                            WEEK_HOURS,
                            nodeChange,
                            changed,
                            seed));
        }
        print(
                experiment.run(
                        ColdStartExperiment.ListPolicy.WAITING,
                        WEEK_HOURS,
                        ColdStartExperiment.NodeChange.NOTHING,
                        0,
                        seed));
    }

    private void simulateReconnectStorms() {
        System.out.println(
                "| gateways | pauses | most calls in 100 ms | calls | all hold a list after |");
        System.out.println("| --- | --- | --- | --- | --- |");
        for (int gateways : STORM_GATEWAYS) {
            for (boolean usesBackoff : new boolean[] {false, true}) {
                ReconnectStorm storm =
                        ReconnectStorm.simulate(
                                gateways,
                                usesBackoff,
                                STORM_OUTAGE_MILLIS,
                                STORM_CALLS_PER_SECOND,
                                STORM_QUEUE_LIMIT,
                                seed);
                System.out.printf(
                        "| %d | %s | %d | %d | %.0f ms |%n",
                        gateways,
                        usesBackoff ? "drawn" : "250 ms",
                        storm.maxCallsInTenthSecond(),
                        storm.calls(),
                        storm.allListedMillis());
            }
        }
    }

    private static void print(ColdStartExperiment.Row row) {
        System.out.printf(
                "| %s | %s | %s | %d | %d | %s | %.0f %% | %.0f %% |%n",
                AccountFormatter.label(row.listPolicy()),
                formatAge(row.ageHours()),
                row.nodeChange() == ColdStartExperiment.NodeChange.NOTHING
                        ? "nothing"
                        : row.changed() + " of 8 " + AccountFormatter.label(row.nodeChange()),
                row.misdirectedAttempts(),
                row.collapsedNodes(),
                Double.isNaN(row.firstServedMillis())
                        ? "never"
                        : String.format(Locale.ROOT, "%.0f ms", row.firstServedMillis()),
                100 * row.service(),
                100 * row.serviceOfAllReads());
    }

    private static String formatAge(double hours) {
        if (hours < 1) {
            return Math.round(hours * 60) + " min";
        }
        return hours < 24 ? Math.round(hours) + " h" : Math.round(hours / 24) + " d";
    }
}
