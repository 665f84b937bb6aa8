package sagepulley.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.ScopeType;
import sagepulley.config.SiteConfigException;
import sagepulley.scenario.ScenarioException;

/** The root command. Each subcommand has a class of its own. */
@Command(
        name = "sagepulley",
        mixinStandardHelpOptions = true,
        version = "sagepulley 0.2.0",
        description =
                "A storage gateway that keeps volumes to their reservations, shares and limits.",
        synopsisSubcommandLabel = "COMMAND",
        sortOptions = false,
        subcommands = {
            GatewayCommand.class,
            NodeCommand.class,
            DirectoryCommand.class,
            DemoCommand.class,
            ReportCommand.class,
            ExplainCommand.class,
            TopCommand.class,
            NodesCommand.class,
            ListFileCommand.class,
            DrillCommand.class,
            SoakCommand.class,
            TruthCommand.class,
            StartsCommand.class,
            MeasureCommand.class,
            CheckSiteCommand.class
        },
        footer = {
            "",
            "  simhost      runs the scheduler for a simulator on standard input and output"
        })
public final class Commands implements Runnable {
    /** Exit code: the command succeeded. */
    public static final int OK = 0;

    /** Exit code: the command failed. */
    public static final int FAILED = 1;

    /** Exit code: the arguments are invalid. */
    public static final int USAGE_ERROR = 2;

    /** Exit code: a site file, list file or scenario is invalid. */
    public static final int INVALID_FILE = 3;

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Option(
            names = "--log",
            scope = ScopeType.INHERIT,
            defaultValue = "text",
            paramLabel = "text|json",
            description = "format of the log on standard error")
    void logFormat(String format) {
        if (!format.equals("text") && !format.equals("json")) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(),
                    "invalid value '" + format + "' for --log, expected text or json");
        }
        System.setProperty("sagepulley.log.form", format);
    }

    @Option(
            names = "--log-level",
            scope = ScopeType.INHERIT,
            defaultValue = "INFO",
            paramLabel = "LEVEL",
            description = "ERROR, WARN, INFO or DEBUG")
    void logLevel(String level) {
        if (!level.matches("ERROR|WARN|INFO|DEBUG")) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(),
                    "invalid value '"
                            + level
                            + "' for --log-level, expected ERROR, WARN, INFO or DEBUG");
        }
        System.setProperty("sagepulley.log.level", level);
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "missing command");
    }

    /** Runs a command and returns its exit code. */
    public static int run(String... arguments) {
        return new CommandLine(new Commands())
                .setExecutionExceptionHandler(
                        (failure, commandLine, parsed) -> {
                            commandLine.getErr().println("sagepulley: " + failure.getMessage());
                            return failure instanceof SiteConfigException
                                            || failure instanceof ScenarioException
                                    ? INVALID_FILE
                                    : FAILED;
                        })
                .execute(arguments);
    }
}
