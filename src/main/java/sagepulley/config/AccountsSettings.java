package sagepulley.config;

import java.nio.file.Path;

/**
 * Settings of the latency accounts.
 *
 * @param enabled whether latency accounts are recorded
 * @param file the file from which they are restored at a restart; null for none
 */
public record AccountsSettings(boolean enabled, Path file, double writeIntervalMillis) {}
