package sagepulley.cli;

import io.netty.channel.EventLoopGroup;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sagepulley.codec.frame.EventLoops;
import sagepulley.config.HostPort;
import sagepulley.discovery.directory.DirectoryMessages;
import sagepulley.scenario.LocalCluster;
import sagepulley.standin.DirectoryRegistration;
import sagepulley.standin.NodeProfile;
import sagepulley.standin.StandInNode;
import sagepulley.standin.TrafficRecorder;

/** Runs a stand-in node. */
@Command(
        name = "node",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = "Runs a stand-in storage node until a signal.")
final class NodeCommand implements Callable<Integer> {
    private static final double SLOW_START_UNITS = 64;

    @Option(
            names = "--id",
            required = true,
            description = "number of the node in the endpoint list")
    private int id;

    @Option(names = "--cell", description = "cell whose extents the node holds (default: --id)")
    private Integer cell;

    @Option(
            names = "--zone",
            defaultValue = "0",
            description = "index of the node's zone in the site file (default: ${DEFAULT-VALUE})")
    private int zone;

    @Option(
            names = "--listen",
            defaultValue = "127.0.0.1:0",
            converter = AddressConverter.class,
            paramLabel = "HOST:PORT",
            description = "listening address for gateways (default: ${DEFAULT-VALUE})")
    private HostPort listen;

    @Option(
            names = "--directory",
            required = true,
            converter = AddressConverter.class,
            paramLabel = "HOST:PORT",
            description = "address of the directory to register with")
    private HostPort directory;

    @Option(names = "--slots", defaultValue = "4", description = "operations executed at once")
    private int slots;

    @Option(
            names = "--read-cost",
            defaultValue = "0",
            paramLabel = "MS",
            description = "processing time of a unit read")
    private double readCost;

    @Option(
            names = "--write-cost",
            defaultValue = "0",
            paramLabel = "MS",
            description = "processing time of a unit written")
    private double writeCost;

    @Option(
            names = "--queue",
            defaultValue = "256",
            description = "maximum number of queued operations")
    private int queue;

    @Option(
            names = "--extent-bytes",
            defaultValue = "1048576",
            description = "extent size, as in the site file")
    private int extentBytes;

    @Option(
            names = "--data",
            paramLabel = "FOLDER",
            description = "stores data in files there (default: in memory)")
    private Path data;

    @Override
    public Integer call() {
        EventLoopGroup loops = EventLoops.group(1, "node-" + id);
        StandInNode node =
                LocalCluster.await(
                        new StandInNode(profile(), loops, TrafficRecorder.NO_OP, id)
                                .start(listen.socket()));
        DirectoryRegistration registration =
                new DirectoryRegistration(
                        loops.next(), directory.socket(), () -> endpointLine(node));
        System.out.println(
                "ready: node " + id + " on " + listen.host() + ":" + node.address().getPort());
        return SignalWait.untilSignal(
                () -> {
                    registration.close();
                    LocalCluster.await(node.stop());
                });
    }

    private NodeProfile profile() {
        NodeProfile defaults = NodeProfile.zeroCost(id, extentBytes);
        return new NodeProfile(
                id,
                cell == null ? id : cell,
                zone,
                0,
                slots,
                readCost,
                writeCost,
                queue,
                extentBytes,
                defaults.slowStartShare(),
                defaults.slowStartMillis(),
                defaults.overloadMultiple(),
                defaults.overloadWindowMillis(),
                SLOW_START_UNITS,
                0,
                defaults.deferIntervalMillis(),
                data);
    }

    private DirectoryMessages.EndpointLine endpointLine(StandInNode node) {
        return new DirectoryMessages.EndpointLine(
                id,
                node.profile().cell(),
                zone,
                0,
                DirectoryMessages.Phase.READY,
                node.startedAt(),
                1,
                listen.host(),
                node.address().getPort());
    }
}
