package sagepulley;

import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import sagepulley.cli.Commands;
import sagepulley.config.resp.ConfigException;
import sagepulley.lifecycle.GatewayServer;
import sagepulley.lifecycle.WarmUpRun;
import sagepulley.simulator.MalformedFrameException;
import sagepulley.simulator.SimulatorAdapter;

/**
 * Entry point of all commands. The commands simhost and serve start without loading the classes of
 * the other commands.
 */
public final class Main {
    private Main() {}

    /** Runs the command that the arguments name and exits with its status. */
    public static void main(String[] arguments) {
        switch (arguments.length == 1 ? arguments[0] : "") {
            case "simhost" -> runSimulatorHost();
            case "serve" -> runServer(() -> GatewayServer.run(System.getenv()));
            case "rehearse" -> runServer(WarmUpRun::onLoopback);
            default -> System.exit(Commands.run(arguments));
        }
    }

    private interface ServerCommand {
        void run() throws ConfigException, IOException;
    }

    /**
     * Runs a server command and exits: with status 0 once it has stopped, or with status 1 and an
     * error message if the configuration is invalid or an I/O error occurs.
     */
    private static void runServer(ServerCommand command) {
        try {
            command.run();
            System.exit(0);
        } catch (ConfigException | IOException e) {
            System.err.println("sagepulley: " + e.getMessage());
            System.exit(1);
        }
    }

    private static void runSimulatorHost() {
        try {
            new SimulatorAdapter(
                            new FileInputStream(FileDescriptor.in),
                            new FileOutputStream(FileDescriptor.out))
                    .run();
        } catch (MalformedFrameException e) {
            System.err.println("sagepulley: malformed frame: " + e.getMessage());
            System.exit(1);
        } catch (IOException e) {
            System.err.println("sagepulley: simulator connection failed: " + e.getMessage());
            System.exit(1);
        }
    }
}
