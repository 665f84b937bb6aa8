package sagepulley.cli;

import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sagepulley.frontend.nbd.NbdGateway;
import sagepulley.scenario.LocalCluster;
import sagepulley.standin.NodeProfile;
import sagepulley.standin.TrafficRecorder;

/** Runs a gateway with stand-in nodes and a stand-in directory on loopback. */
@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description =
                "Runs a gateway, stand-in nodes and a directory on loopback until a signal; exports the "
                        + "volume 'demo' of 64 MiB over NBD.")
final class DemoCommand implements Callable<Integer> {
    @Option(
            names = "--nbd-port",
            defaultValue = "10809",
            paramLabel = "PORT",
            description = "port for NBD clients; 0 picks a free port (default: ${DEFAULT-VALUE})")
    private int port;

    @Option(
            names = "--nodes",
            defaultValue = "6",
            description = "number of stand-in nodes (default: ${DEFAULT-VALUE})")
    private int nodes;

    @Option(
            names = "--cost",
            defaultValue = "0.5",
            paramLabel = "MS",
            description = "time that a node takes for 128 KiB (default: ${DEFAULT-VALUE})")
    private double cost;

    @Override
    public Integer call() throws Exception {
        List<NodeProfile> profiles = new ArrayList<>();
        for (int i = 1; i <= nodes; i++) {
            profiles.add(NodeProfile.zeroCost(i, 1 << 20).withCost(cost, cost).withZone(i % 2));
        }
        LocalCluster cluster = LocalCluster.start(profiles, TrafficRecorder.NO_OP, 2);
        NbdGateway gateway =
                cluster.open(
                        LocalCluster.demoSite("demo", 0, 1, port, cluster.directory().address()),
                        new SecureRandom().nextLong());
        System.out.println(
                "ready: nbd://127.0.0.1:"
                        + gateway.address().getPort()
                        + "/demo (64 MiB) over "
                        + nodes
                        + " stand-in nodes");
        return SignalWait.untilSignal(cluster::close);
    }
}
