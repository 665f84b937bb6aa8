package sagepulley.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sagepulley.scenario.ColdStartExperiment;

/** Measures starts without discovery. */
@Command(
        name = "starts",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description =
                "Starts gateways on loopback with discovery down and lists of several ages, of which some nodes have "
                        + "changed since, against believing the list blindly and waiting for discovery; and plays the return of "
                        + "many gateways to one directory.")
final class StartsCommand implements Callable<Integer> {
    private static final double[] AGES = {1.0 / 60, 1, 23, 7 * 24, 30 * 24};
    private static final int HALF = 4;

    @Option(
            names = "--folder",
            required = true,
            paramLabel = "FOLDER",
            description = "for the lists' files")
    private Path folder;

    @Option(names = "--seed", defaultValue = "1", description = "(default: ${DEFAULT-VALUE})")
    private long seed;

    @Override
    public Integer call() throws Exception {
        ColdStartExperiment starts = new ColdStartExperiment(folder);
        System.out.println(
                "| way | age | changed since | hops to drained or replaced | pushed over | first satisfied "
                        + "| service of what is left | of all |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- |");
        for (ColdStartExperiment.Since since : ColdStartExperiment.Since.values()) {
            int changed = since == ColdStartExperiment.Since.NOTHING ? 0 : HALF;
            for (double age : AGES) {
                row(starts.run(ColdStartExperiment.Way.BY_AGE, age, since, changed, seed));
            }
            if (since != ColdStartExperiment.Since.NOTHING) {
                row(starts.run(ColdStartExperiment.Way.BY_AGE, AGES[3], since, 2, seed));
            }
            row(starts.run(ColdStartExperiment.Way.BLINDLY, AGES[3], since, changed, seed));
        }
        row(
                starts.run(
                        ColdStartExperiment.Way.WAITING,
                        AGES[3],
                        ColdStartExperiment.Since.NOTHING,
                        0,
                        seed));
        System.out.println();
        System.out.println(
                "| gateways | pauses | most calls in 100 ms | calls | all hold a list after |");
        System.out.println("| --- | --- | --- | --- | --- |");
        for (int gateways : new int[] {16, 64, 1000}) {
            for (boolean spread : new boolean[] {false, true}) {
                ColdStartExperiment.ReconnectStorm storm =
                        ColdStartExperiment.simulateStorm(gateways, spread, 20_000, 50, 20, seed);
                System.out.printf(
                        "| %d | %s | %d | %d | %.0f ms |%n",
                        gateways,
                        spread ? "drawn" : "250 ms",
                        storm.maxCallsInTenthSecond(),
                        storm.calls(),
                        storm.allListedMillis());
            }
        }
        return Commands.OK;
    }

    private static void row(ColdStartExperiment.Row row) {
        String age =
                row.ageHours() < 1
                        ? Math.round(row.ageHours() * 60) + " min"
                        : row.ageHours() < 24
                                ? Math.round(row.ageHours()) + " h"
                                : Math.round(row.ageHours() / 24) + " d";
        System.out.printf(
                "| %s | %s | %s | %d | %d | %s | %.0f %% | %.0f %% |%n",
                AccountFormatter.of(row.way()),
                age,
                row.since() == ColdStartExperiment.Since.NOTHING
                        ? "nothing"
                        : row.changed() + " of 8 " + AccountFormatter.of(row.since()),
                row.wrongAttempts(),
                row.collapsedNodes(),
                Double.isNaN(row.firstServedMillis())
                        ? "never"
                        : String.format(java.util.Locale.ROOT, "%.0f ms", row.firstServedMillis()),
                100 * row.service(),
                100 * row.serviceOfAll());
    }
}
