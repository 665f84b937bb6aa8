package sagepulley.config;

import java.nio.file.Path;

/**
 * Settings of tracing: the destinations of the traces and the limits of sampling.
 *
 * @param file the trace file; null for none
 * @param fileBytes the size at which a file is rotated
 * @param files the number of files, including rotated ones
 * @param otlp the URL of an OTLP receiver; empty for none
 * @param sampleProbability the probability that an ordinary operation is traced, 0 to 1
 */
public record TracingSettings(
        Path file,
        long fileBytes,
        int files,
        String otlp,
        double maxTracesPerSecond,
        double sampleProbability) {
    /** Returns whether traces are recorded and written anywhere. */
    public boolean isEnabled() {
        return maxTracesPerSecond > 0 && (file != null || !otlp.isEmpty());
    }
}
