package sagepulley.faultinjection;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

/** Reads the JVM options of {@code run} in the deploy file, which limit the process's memory. */
final class DeployedOptions {
    private static final Path DEPLOY_FILE = Path.of("deploy", "balancer.toml");
    private static final String KEY = "run = ";

    private DeployedOptions() {}

    /**
     * Returns the options, except those of the class archive. Must be called from the root of a
     * checkout.
     */
    static List<String> read() throws IOException {
        String run =
                Files.readAllLines(DEPLOY_FILE).stream()
                        .filter(line -> line.startsWith(KEY))
                        .findFirst()
                        .orElseThrow(
                                () -> new IOException(DEPLOY_FILE + ": no line '" + KEY + "'"));
        return Arrays.stream(run.split(" "))
                .filter(option -> option.startsWith("-X") || option.startsWith("-D"))
                .filter(option -> !option.contains("Share"))
                .toList();
    }
}
