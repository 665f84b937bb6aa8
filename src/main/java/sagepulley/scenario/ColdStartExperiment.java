package sagepulley.scenario;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import sagepulley.codec.frame.EventLoops;
import sagepulley.codec.nbd.NbdClient;
import sagepulley.config.SiteConfig;
import sagepulley.config.SiteConfigException;
import sagepulley.frontend.nbd.NbdGateway;
import sagepulley.membership.ListFreshness;
import sagepulley.membership.Membership;
import sagepulley.membership.StoredEndpointList;
import sagepulley.persistence.EndpointListFile;
import sagepulley.standin.NodeProfile;
import sagepulley.standin.StandInNode;
import sagepulley.standin.TrafficRecorder;
import sagepulley.upstream.frame.StoreMessages;

/**
 * Starts gateways while the directory is down, from stored endpoint lists of a given age.
 *
 * <p>Some nodes have changed since the list was stored. The experiment counts the attempts that
 * reach drained or replaced nodes and measures how soon and how well the gateways serve reads.
 */
public final class ColdStartExperiment {
    private static final int EXTENT_BYTES = 256 << 10;
    private static final int EXTENTS = 64;
    private static final int NODES = 8;
    private static final int GATEWAYS = 4;
    private static final double REQUESTS_PER_SECOND = 150;
    private static final long MEASURED_MILLIS = 3_000;
    private static final double NANOS_PER_MILLI = 1e6;

    /** The change to some nodes since the list was stored. */
    public enum NodeChange {
        NOTHING,
        DRAINED,
        REPLACED,
        COLD
    }

    /**
     * The gateway's use of its stored list: trusted by age, trusted at any age, or not used.
     * Without the list the gateway waits for the directory.
     */
    public enum ListPolicy {
        BY_AGE,
        BLINDLY,
        WAITING
    }

    /**
     * The result of one start.
     *
     * @param changed the number of changed nodes
     * @param misdirectedAttempts attempts that reached draining or replacement nodes
     * @param collapsedNodes the number of overload collapses of nodes in slow start
     * @param firstServedMillis the time from the gateways' start to the first read served; NaN if
     *     none was
     * @param service the share of reads served within the latency objective, relative to the reads
     *     that unchanged or restarted nodes can serve
     * @param serviceOfAllReads the share of all reads served within the latency objective
     */
    public record Row(
            ListPolicy listPolicy,
            double ageHours,
            NodeChange nodeChange,
            int changed,
            long misdirectedAttempts,
            int collapsedNodes,
            double firstServedMillis,
            double service,
            double serviceOfAllReads) {}

    /** A membership that treats its list as fresh and accepts every node that answers. */
    private static final class UncheckedMembership extends Membership {
        UncheckedMembership(String site, Policy policy) {
            super(site, policy, new SplittableRandom(1));
        }

        @Override
        public ListFreshness freshness(double now) {
            return ListFreshness.FRESH;
        }

        @Override
        public HandshakeVerdict handshakeCompleted(
                int node,
                int answeringNode,
                int cell,
                boolean draining,
                long startedAt,
                double now) {
            return HandshakeVerdict.ACCEPTED;
        }

        @Override
        public void drainAnnounced(int node) {
            // Ignored: only the list counts.
        }
    }

    /** Counts the attempts that reach unavailable nodes, and overload collapses. */
    private static final class AttemptCounter implements TrafficRecorder {
        final Set<Integer> unavailableNodes = new HashSet<>();
        final AtomicLong misdirected = new AtomicLong();
        final AtomicInteger collapsed = new AtomicInteger();

        @Override
        public void attemptReceived(int node, long gateway, StoreMessages.Send send, long nanos) {
            synchronized (unavailableNodes) {
                if (unavailableNodes.contains(node)) {
                    misdirected.incrementAndGet();
                }
            }
        }

        @Override
        public void nodeCollapsed(int node, long nanos) {
            collapsed.incrementAndGet();
        }
    }

    private final Path folder;

    /** Creates an experiment whose gateways keep their files in the given folder. */
    public ColdStartExperiment(Path folder) {
        this.folder = folder;
    }

    /** Runs one start with the given number of changed nodes. */
    public Row run(
            ListPolicy listPolicy, double ageHours, NodeChange nodeChange, int changed, long seed)
            throws SiteConfigException, IOException {
        AttemptCounter counter = new AttemptCounter();
        List<NodeProfile> profiles = new ArrayList<>();
        for (int i = 1; i <= NODES; i++) {
            profiles.add(
                    NodeProfile.zeroCost(i, EXTENT_BYTES)
                            .withCost(1, 1)
                            .withSlowStart(0.25, 3_000, 2, 500, 24));
        }
        try (LocalCluster cluster = LocalCluster.start(profiles, counter, 3)) {
            List<String> siteTexts = new ArrayList<>();
            Path runFolder = Files.createDirectories(folder.resolve("start-" + System.nanoTime()));
            for (int i = 0; i < GATEWAYS; i++) {
                siteTexts.add(buildSiteText(cluster, i, runFolder.resolve("gw" + i)));
            }
            fillVolume(cluster, siteTexts, seed);
            for (int i = 0; i < GATEWAYS; i++) {
                ageStoredList(runFolder.resolve("gw" + i).resolve("nodes"), ageHours * 3_600_000);
            }
            LocalCluster.await(cluster.directory().stop());
            changeNodes(cluster, counter, nodeChange, changed);
            return measureService(
                    cluster, listPolicy, ageHours, nodeChange, changed, siteTexts, counter, seed);
        }
    }

    private static String buildSiteText(
            LocalCluster cluster, int gatewayIndex, Path gatewayFolder) {
        return LocalCluster.demoSite(
                                "gw-" + gatewayIndex,
                                gatewayIndex,
                                GATEWAYS,
                                0,
                                cluster.directory().address())
                        .replace("extent = 1 MiB", "extent = 256 KiB\nask-within = 2 s")
                        .replace("unit = 128 KiB", "unit = 16 KiB")
                        .replace("cold-time = 10 s", "cold-time = 3 s")
                        .replace("fall-time = 2 s", "fall-time = 500 ms")
                        .replace("cold-units = 64", "cold-units = 24")
                + "gateways = "
                + GATEWAYS
                + "\n\n[membership]\nlist = "
                + gatewayFolder.resolve("nodes")
                + "\nholders = "
                + gatewayFolder.resolve("holders")
                + "\n";
    }

    /**
     * Starts all gateways, writes to each extent through the first one, and stops them. They leave
     * their stored endpoint lists behind.
     */
    private static void fillVolume(LocalCluster cluster, List<String> siteTexts, long seed)
            throws SiteConfigException {
        List<NbdGateway> gateways = new ArrayList<>();
        for (String site : siteTexts) {
            NbdGateway gateway =
                    LocalCluster.await(
                            new NbdGateway(SiteConfig.read("site", site), ++seed * 100).start());
            gateways.add(gateway);
            if (gateways.size() == 1) {
                NbdClient client = connect(cluster.loops(), gateway);
                for (int i = 0; i < EXTENTS; i++) {
                    LocalCluster.await(client.write(i * (long) EXTENT_BYTES, new byte[4096]))
                            .release();
                }
                client.channel().close().syncUninterruptibly();
            }
        }
        for (NbdGateway gateway : gateways) {
            LocalCluster.await(gateway.stop());
        }
    }

    private static NbdClient connect(EventLoopGroup loops, NbdGateway gateway) {
        return LocalCluster.await(
                NbdClient.open(
                        loops, EventLoops.socket(), gateway.address(), "demo", NbdClient.Style.GO));
    }

    private static void ageStoredList(Path path, double ageMillis) throws IOException {
        EndpointListFile file = new EndpointListFile(path, "sagepulley");
        StoredEndpointList list = file.inspect().list();
        file.write(
                new StoredEndpointList(
                        list.site(),
                        list.history(),
                        list.version(),
                        list.confirmedAt() - (long) ageMillis,
                        list.endpoints()),
                System.currentTimeMillis());
    }

    private static void changeNodes(
            LocalCluster cluster, AttemptCounter counter, NodeChange nodeChange, int changed) {
        for (StandInNode node : cluster.nodes().subList(0, changed)) {
            switch (nodeChange) {
                case NOTHING -> {}
                case DRAINED -> node.drain();
                case REPLACED -> {
                    var address = node.address();
                    LocalCluster.await(node.stop());
                    NodeProfile replacement =
                            NodeProfile.zeroCost(node.profile().id() + 100, EXTENT_BYTES)
                                    .withCost(1, 1);
                    LocalCluster.await(
                            new StandInNode(replacement, cluster.loops(), counter, replacement.id())
                                    .start(address));
                }
                case COLD -> LocalCluster.await(node.restartCold());
            }
            if (nodeChange == NodeChange.DRAINED || nodeChange == NodeChange.REPLACED) {
                synchronized (counter.unavailableNodes) {
                    counter.unavailableNodes.add(
                            node.profile().id() + (nodeChange == NodeChange.REPLACED ? 100 : 0));
                }
            }
        }
    }

    private static Row measureService(
            LocalCluster cluster,
            ListPolicy listPolicy,
            double ageHours,
            NodeChange nodeChange,
            int changed,
            List<String> siteTexts,
            AttemptCounter counter,
            long seed)
            throws SiteConfigException {
        long start = System.nanoTime();
        List<NbdClient> clients = new ArrayList<>();
        List<NbdGateway> gateways = startGateways(cluster, listPolicy, siteTexts, seed, clients);
        ColdStartReadLoad load =
                new ColdStartReadLoad(
                        REQUESTS_PER_SECOND * GATEWAYS,
                        EXTENTS,
                        EXTENT_BYTES,
                        latencyObjectiveNanos(siteTexts.get(0)),
                        ColdStartExperiment::sleepUntil,
                        seed);
        load.send(clients, MEASURED_MILLIS);
        load.awaitReplies();
        clients.forEach(client -> client.channel().close().syncUninterruptibly());
        gateways.forEach(gateway -> LocalCluster.await(gateway.kill()));
        double reachableShare =
                nodeChange == NodeChange.DRAINED || nodeChange == NodeChange.REPLACED
                        ? 1 - (double) changed / NODES
                        : 1;
        long firstServedAt = load.firstServedAt();
        return new Row(
                listPolicy,
                ageHours,
                nodeChange,
                changed,
                counter.misdirected.get(),
                counter.collapsed.get(),
                firstServedAt == 0 ? Double.NaN : (firstServedAt - start) / NANOS_PER_MILLI,
                Math.min(1, load.service() / reachableShare),
                load.service());
    }

    /** Starts all gateways and adds a client for each, unless they wait for the directory. */
    private static List<NbdGateway> startGateways(
            LocalCluster cluster,
            ListPolicy listPolicy,
            List<String> siteTexts,
            long seed,
            List<NbdClient> clients)
            throws SiteConfigException {
        List<NbdGateway> gateways = new ArrayList<>();
        for (int i = 0; i < GATEWAYS; i++) {
            NbdGateway gateway = createGateway(listPolicy, siteTexts.get(i), seed * 1000 + i);
            CompletableFuture<NbdGateway> ready = gateway.start();
            if (listPolicy != ListPolicy.WAITING) {
                LocalCluster.await(ready);
                clients.add(connect(cluster.loops(), gateway));
            }
            gateways.add(gateway);
        }
        return gateways;
    }

    private static NbdGateway createGateway(ListPolicy listPolicy, String siteText, long seed)
            throws SiteConfigException {
        String text =
                listPolicy == ListPolicy.WAITING
                        ? siteText.substring(0, siteText.indexOf("[membership]"))
                        : siteText;
        SiteConfig site = SiteConfig.read("site", text);
        return listPolicy == ListPolicy.BLINDLY
                ? new NbdGateway(
                        site,
                        seed,
                        new UncheckedMembership(site.siteName(), Membership.Policy.DEFAULT))
                : new NbdGateway(site, seed);
    }

    private static double latencyObjectiveNanos(String siteText) throws SiteConfigException {
        SiteConfig site = SiteConfig.read("site", siteText);
        return site.deployment().trafficClasses().get(0).latencyObjective() * NANOS_PER_MILLI;
    }

    private static void sleepUntil(long deadlineNanos) {
        try {
            long remainingNanos = deadlineNanos - System.nanoTime();
            if (remainingNanos > 0) {
                TimeUnit.NANOSECONDS.sleep(remainingNanos);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
