package sagepulley.faultinjection;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Seeded runs of real processes under overlapping faults; the command 'soak' runs any number of
 * seeds.
 */
@Timeout(180)
@Execution(ExecutionMode.CONCURRENT)
class SoakTest {
    private static final long LENGTH_MILLIS = 24_000;
    private static final int MAX_SHOWN = 12;
    private static final int MIN_SERVED = 100;

    @TempDir Path folder;

    @ParameterizedTest(name = "seed {0}")
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void seededRunHasNoViolations(long seed) throws Exception {
        try (SoakRun run = new SoakRun(seed, folder, LENGTH_MILLIS)) {
            List<String> violations = run.violations();
            assertTrue(
                    violations.isEmpty(),
                    () ->
                            violations.size()
                                    + " violations; "
                                    + String.join(
                                            "\n  ",
                                            violations.subList(
                                                    0, Math.min(MAX_SHOWN, violations.size())))
                                    + "\n"
                                    + run.journalText());
            assertTrue(run.served() > MIN_SERVED, run::journalText);
        }
    }
}
