package sagepulley.faults;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Seeded runs of real processes under overlapping faults. In CI a few seeds; by hand any number:
 * mvn test -Dtest=SoakTest -Dsoak.first=1000 -Dsoak.seeds=50 (-Dsoak.report=FILE for a line a seed, -Dsoak.logs=FOLDER
 * to keep the logs).
 */
@Timeout(180)
@Execution(ExecutionMode.CONCURRENT)
class SoakTest {
    private static final long LENGTH_MS = Long.getLong("soak.length", 24_000);
    private static final int SHOWN = 12;
    private static final int LEAST_SERVED = 100;

    @TempDir
    Path folder;

    static LongStream seeds() {
        long first = Long.getLong("soak.first", 1);
        return LongStream.range(first, first + Long.getLong("soak.seeds", 8));
    }

    @ParameterizedTest(name = "seed {0}")
    @MethodSource("seeds")
    void noRuleIsBroken(long seed) throws Exception {
        String kept = System.getProperty("soak.logs");
        Path logs = kept == null ? folder : Files.createDirectories(Path.of(kept, "seed-" + seed));
        try (SoakRun run = new SoakRun(seed, logs, LENGTH_MS)) {
            List<String> broken = run.violations();
            report(seed, broken, run);
            assertTrue(broken.isEmpty(), () -> broken.size() + " violations; "
                    + String.join("\n  ", broken.subList(0, Math.min(SHOWN, broken.size()))) + "\n" + run.story());
            assertTrue(run.served() > LEAST_SERVED, run::story);
        }
    }

    private static synchronized void report(long seed, List<String> broken, SoakRun run) throws Exception {
        String file = System.getProperty("soak.report");
        if (file != null) {
            Path path = Path.of(file);
            String line = "seed " + seed + ": " + (broken.isEmpty() ? "passed" : "FAILED, " + broken.size()
                    + " violations, first: " + broken.get(0).lines().findFirst().orElse("")) + "; served "
                    + run.served() + "\n";
            Files.writeString(path, (Files.exists(path) ? Files.readString(path) : "") + line);
        }
    }
}
