package sagepulley.config;

import java.nio.file.Path;

/**
 * Whether latency accounts are kept, the file that they survive a restart in (null: none), and how
 * often.
 */
public record AccountsSettings(boolean keep, Path file, double every) {}
