package sagepulley.config;

import java.nio.file.Path;

/**
 * Where traces go, and how many.
 *
 * @param file null for none
 * @param fileBytes size at which a file is rotated
 * @param files how many there are, the rotated ones included
 * @param otlp URL of an OTLP receiver; empty for none
 * @param sampleProbability of an ordinary operation's trace, 0 to 1
 */
public record TracingSettings(
        Path file,
        long fileBytes,
        int files,
        String otlp,
        double maxTracesPerSecond,
        double sampleProbability) {
    /** Whether any trace goes anywhere. */
    public boolean isEnabled() {
        return maxTracesPerSecond > 0 && (file != null || !otlp.isEmpty());
    }
}
