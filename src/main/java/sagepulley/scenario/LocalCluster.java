package sagepulley.scenario;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import sagepulley.codec.frame.EventLoops;
import sagepulley.config.SiteConfig;
import sagepulley.config.SiteConfigException;
import sagepulley.discovery.directory.DirectoryMessages;
import sagepulley.frontend.nbd.NbdGateway;
import sagepulley.standin.NodeProfile;
import sagepulley.standin.StandInDirectory;
import sagepulley.standin.StandInNode;
import sagepulley.standin.TrafficRecorder;

/** A directory, nodes and gateways that run in one process on loopback. */
public final class LocalCluster implements AutoCloseable {
    private static final long WAIT_SECONDS = 20;

    private final EventLoopGroup loops;
    private final StandInDirectory directory;
    private final List<StandInNode> nodes = new ArrayList<>();
    private final List<NbdGateway> gateways = new ArrayList<>();

    private LocalCluster(EventLoopGroup loops, StandInDirectory directory) {
        this.loops = loops;
        this.directory = directory;
    }

    /** Starts the directory and the nodes. Gateways are started with {@link #open}. */
    public static LocalCluster start(
            List<NodeProfile> profiles, TrafficRecorder recorder, int loopCount) {
        EventLoopGroup loops = EventLoops.group(loopCount, "stand-in");
        StandInDirectory directory = new StandInDirectory(loops, recorder);
        await(directory.start(loopback(0)));
        LocalCluster cluster = new LocalCluster(loops, directory);
        for (NodeProfile profile : profiles) {
            StandInNode node = new StandInNode(profile, loops, recorder, profile.id());
            await(node.start(loopback(0)));
            cluster.nodes.add(node);
            cluster.list(node, DirectoryMessages.Phase.READY);
        }
        return cluster;
    }

    /** Returns the demo's site file with its placeholders filled in. */
    public static String demoSite(
            String name, int number, int gateways, int nbdPort, InetSocketAddress directory) {
        String text;
        try (InputStream in = LocalCluster.class.getResourceAsStream("/demo-site.ini")) {
            text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new IllegalStateException("failed to read the resource /demo-site.ini", e);
        }
        Map<String, String> placeholders =
                Map.of(
                        "name",
                        name,
                        "number",
                        String.valueOf(number),
                        "gateways",
                        String.valueOf(gateways),
                        "nbd",
                        "127.0.0.1:" + nbdPort,
                        "directory",
                        "127.0.0.1:" + directory.getPort());
        for (Map.Entry<String, String> placeholder : placeholders.entrySet()) {
            text = text.replace("${" + placeholder.getKey() + "}", placeholder.getValue());
        }
        return text;
    }

    /** Starts a gateway from the text of a site file. */
    public NbdGateway open(String siteText, long seed) throws SiteConfigException {
        NbdGateway gateway = new NbdGateway(SiteConfig.read("site", siteText), seed);
        await(gateway.start());
        gateways.add(gateway);
        return gateway;
    }

    /** Lists a node in the directory with the given phase. */
    public void list(StandInNode node, DirectoryMessages.Phase phase) {
        directory.put(endpointLine(node, phase));
    }

    /** Returns the line of the endpoint list for a node with the given phase. */
    public static DirectoryMessages.EndpointLine endpointLine(
            StandInNode node, DirectoryMessages.Phase phase) {
        return new DirectoryMessages.EndpointLine(
                node.profile().id(),
                node.profile().cell(),
                node.profile().zone(),
                node.profile().kind(),
                phase,
                node.startedAt(),
                1,
                "127.0.0.1",
                node.address().getPort());
    }

    /** Restarts a node in slow start and lists it in the directory as ready. */
    public void restartCold(StandInNode node) {
        await(node.restartCold());
        list(node, DirectoryMessages.Phase.READY);
    }

    /** Starts to drain a node and lists it in the directory as draining. */
    public void drain(StandInNode node) {
        node.drain();
        list(node, DirectoryMessages.Phase.DRAINING);
    }

    /** Returns the directory. */
    public StandInDirectory directory() {
        return directory;
    }

    /** Returns the nodes, in the order of the profiles they were started from. */
    public List<StandInNode> nodes() {
        return nodes;
    }

    /** Returns the gateways that were started. */
    public List<NbdGateway> gateways() {
        return gateways;
    }

    /** Returns the event loops that the directory and nodes share with clients. */
    public EventLoopGroup loops() {
        return loops;
    }

    @Override
    public void close() {
        for (NbdGateway gateway : gateways) {
            await(gateway.stop());
        }
        for (StandInNode node : nodes) {
            await(node.stop());
        }
        await(directory.stop());
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    static InetSocketAddress loopback(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    /**
     * Waits up to 20 s for a future and returns its result.
     *
     * @throws IllegalStateException if it fails or does not complete in time
     */
    public static <T> T await(CompletableFuture<T> future) {
        try {
            return future.get(WAIT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
