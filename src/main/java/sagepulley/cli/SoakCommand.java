package sagepulley.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sagepulley.config.SiteConfigException;
import sagepulley.faultinjection.PeerSoakRun;
import sagepulley.faultinjection.SoakRun;
import sagepulley.scenario.SeededRun;
import sagepulley.scenario.order.OrderSoakRun;

/** Runs fault-injection tests whose faults follow from a seed. */
@Command(
        name = "soak",
        mixinStandardHelpOptions = true,
        description =
                "Runs small fleets of 'serve' processes on loopback under overlapping faults derived from a "
                        + "seed, and checks the rules against the recorded traffic; exits with 1 if one is "
                        + "violated.")
final class SoakCommand implements Callable<Integer> {
    private static final int MAX_PRINTED_VIOLATIONS = 5;

    @Option(
            names = "--first",
            paramLabel = "SEED",
            defaultValue = "1",
            description = "the first seed (default: ${DEFAULT-VALUE})")
    private long firstSeed;

    @Option(
            names = "--seeds",
            paramLabel = "N",
            defaultValue = "8",
            description = "number of seeds (default: ${DEFAULT-VALUE})")
    private int seeds;

    @Option(
            names = "--seconds",
            paramLabel = "N",
            defaultValue = "24",
            description = "duration of a run (default: ${DEFAULT-VALUE})")
    private int seconds;

    @Option(
            names = "--at-once",
            paramLabel = "N",
            defaultValue = "4",
            description =
                    "parallel runs, of two to four processes each (default: ${DEFAULT-VALUE})")
    private int parallelRuns;

    @Option(
            names = "--logs",
            paramLabel = "FOLDER",
            required = true,
            description = "keeps configurations and logs of each run there")
    private Path logs;

    @Option(
            names = "--peers",
            description =
                    "misbehaving clients against one process with the options of the deploy file, in place "
                            + "of faults of the fleet; run from the root of a checkout")
    private boolean peers;

    @Option(
            names = "--order",
            description =
                    "commands to NBD gateways of a volume whose writes keep order, judged by what blocks read, "
                            + "in place of 'serve' processes; runs inside this process")
    private boolean order;

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    /** The result of one seed. */
    private record Outcome(long seed, List<String> violations, long served, String journal) {}

    @Override
    public Integer call() throws InterruptedException, ExecutionException {
        ExecutorService executor = Executors.newFixedThreadPool(parallelRuns);
        try {
            List<Future<Outcome>> runs = new ArrayList<>();
            for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
                long runSeed = seed;
                runs.add(executor.submit(() -> run(runSeed)));
            }
            int failed = 0;
            for (Future<Outcome> run : runs) {
                failed += print(run.get());
            }
            spec.commandLine().getOut().println(seeds - failed + " passed, " + failed + " failed");
            return failed == 0 ? Commands.OK : Commands.FAILED;
        } finally {
            executor.shutdownNow();
        }
    }

    private Outcome run(long seed) throws IOException, InterruptedException, SiteConfigException {
        Path folder = Files.createDirectories(logs.resolve("seed-" + seed));
        try (SeededRun run = newRun(seed, folder, seconds * 1_000L)) {
            List<String> violations = run.violations();
            return new Outcome(seed, violations, run.served(), run.journalText());
        }
    }

    private SeededRun newRun(long seed, Path folder, long lengthMillis)
            throws IOException, InterruptedException {
        if (order) {
            return new OrderSoakRun(seed, folder, lengthMillis);
        }
        if (peers) {
            return new PeerSoakRun(seed, folder, lengthMillis);
        }
        return new SoakRun(seed, folder, lengthMillis);
    }

    /**
     * Prints the result of a run, and for a failed run its first violations and its journal.
     *
     * @return 1 for a failed run, otherwise 0
     */
    private int print(Outcome outcome) {
        PrintWriter out = spec.commandLine().getOut();
        if (outcome.violations().isEmpty()) {
            out.println("seed " + outcome.seed() + ": passed, served " + outcome.served());
            return 0;
        }
        out.println(
                "seed "
                        + outcome.seed()
                        + ": FAILED, "
                        + outcome.violations().size()
                        + " violations");
        outcome.violations().stream()
                .limit(MAX_PRINTED_VIOLATIONS)
                .forEach(violation -> out.println("  " + violation));
        out.println(outcome.journal());
        return 1;
    }
}
