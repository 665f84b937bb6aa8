/**
 * The command line: one picocli class for each sub-command, exit codes, and the texts and pages
 * that commands print.
 *
 * <p>A command owns no state beyond its parsed options. It runs on the main thread; those that run
 * until a signal end on the thread of a shutdown hook ({@link sagepulley.cli.SignalWait}).
 */
package sagepulley.cli;
