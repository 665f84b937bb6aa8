package sagepulley.config;

import java.nio.file.Path;

/**
 * Whether latency accounts are kept, the file that they survive a restart in (null: none), and how
 * often.
 */
public record AccountsSettings(boolean enabled, Path file, double writeIntervalMillis) {}
