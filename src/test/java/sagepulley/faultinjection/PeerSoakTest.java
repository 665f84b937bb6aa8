package sagepulley.faultinjection;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Seeded runs with misbehaving clients; 'soak --peers' runs any number of seeds. */
@Timeout(90)
class PeerSoakTest {
    private static final long LENGTH_MILLIS = 15_000;
    private static final int MIN_SERVED = 200;

    @TempDir Path folder;

    @ParameterizedTest(name = "seed {0}")
    @ValueSource(longs = {1, 2, 3, 4})
    void seededRunHasNoViolations(long seed) throws Exception {
        try (PeerSoakRun run = new PeerSoakRun(seed, folder, LENGTH_MILLIS)) {
            List<String> violations = run.violations();
            assertTrue(violations.isEmpty(), () -> violations + "\n" + run.journalText());
            assertTrue(run.served() > MIN_SERVED, run::journalText);
        }
    }
}
