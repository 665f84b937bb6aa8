package sagepulley.config;

import java.nio.file.Path;

/**
 * Where traces go: a file (null: none) of so many bytes with so many in all, and an OTLP receiver's
 * address (empty: none). At most so many operations a second are kept; an ordinary one by this
 * chance.
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
