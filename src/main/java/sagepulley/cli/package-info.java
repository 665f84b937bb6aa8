/**
 * The command line: a picocli class for each subcommand, the exit codes, and the formatting of
 * command output.
 *
 * <p>A command has no state beyond its parsed options and runs on the main thread. Commands that
 * run until a signal are shut down by a shutdown hook ({@link sagepulley.cli.SignalWait}).
 */
package sagepulley.cli;
