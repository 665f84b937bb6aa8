package sagepulley.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sagepulley.codec.frame.EventLoops;
import sagepulley.config.HostPort;
import sagepulley.scenario.LocalCluster;
import sagepulley.standin.StandInDirectory;
import sagepulley.standin.TrafficRecorder;

/** Runs a stand-in directory. */
@Command(
        name = "directory",
        mixinStandardHelpOptions = true,
        description =
                "Runs a stand-in directory until a signal; it serves the endpoint list and the holders of "
                        + "extents.")
final class DirectoryCommand implements Callable<Integer> {
    @Option(
            names = "--listen",
            defaultValue = "127.0.0.1:10810",
            converter = AddressConverter.class,
            paramLabel = "HOST:PORT",
            description = "listening address for gateways and nodes (default: ${DEFAULT-VALUE})")
    private HostPort listen;

    @Option(
            names = "--lag",
            defaultValue = "0",
            paramLabel = "MS",
            description = "delay of change notifications")
    private double lag;

    @Override
    public Integer call() {
        StandInDirectory directory =
                new StandInDirectory(EventLoops.group(1, "directory"), TrafficRecorder.NO_OP);
        directory.delayNotifications(lag);
        LocalCluster.await(directory.start(listen.socket()));
        System.out.println(
                "ready: directory on " + listen.host() + ":" + directory.address().getPort());
        return SignalWait.untilSignal(() -> LocalCluster.await(directory.stop()));
    }
}
