package sagepulley.config;

import java.nio.file.Path;

/**
 * How latency accounts are stored.
 *
 * @param enabled whether latency accounts are recorded
 * @param file the file in which they survive a restart; null for none
 */
public record AccountsSettings(boolean enabled, Path file, double writeIntervalMillis) {}
