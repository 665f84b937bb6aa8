package sagepulley.scenario.order;

import io.netty.buffer.Unpooled;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import sagepulley.codec.frame.EventLoops;
import sagepulley.codec.nbd.NbdClient;
import sagepulley.codec.nbd.NbdConstants;
import sagepulley.config.SiteConfigException;
import sagepulley.frontend.nbd.NbdGateway;
import sagepulley.scenario.LocalCluster;
import sagepulley.scenario.SeededRun;
import sagepulley.standin.NodeProfile;
import sagepulley.standin.StandInNode;
import sagepulley.standin.TrafficRecorder;

/**
 * One seeded run against two gateways of a volume whose writes keep order: clients send commands to
 * new and to old extents while gateways are killed and restarted, the directory is slow or silent,
 * nodes pause or slow down, and bursts of other writes come. Checks what the blocks read.
 */
public final class OrderSoakRun implements SeededRun {
    private static final int GATEWAYS = 2;
    private static final int NODES = 3;
    private static final int CLIENTS = 4;
    private static final int EXTENT_BYTES = 64 << 10;
    private static final int EXTENTS_PER_CLIENT = 4_000;
    private static final int BURST_WRITES = 200;
    private static final int BURST_EXTENTS = 100;
    private static final double SERVICE_MILLIS = 1;
    private static final int MIN_FAULT_PAUSE_MILLIS = 100;
    private static final int MAX_FAULT_PAUSE_MILLIS = 900;
    private static final int MAX_DIRECTORY_DELAY_MILLIS = 60;
    private static final int MAX_FAULT_MILLIS = 400;
    private static final double SLOWDOWN_FACTOR = 20;

    /** The faults of a run, drawn with equal probability. */
    private enum Fault {
        KILL,
        RESTART,
        SLOW_DIRECTORY,
        SILENT_DIRECTORY,
        DIRECTORY_RESTART,
        NODE_PAUSE,
        SLOW_NODE,
        BURST
    }

    private final long seed;
    private final Path folder;
    private final long lengthMillis;
    private final Random random;
    private final boolean readsInOrder;
    private final LocalCluster cluster;
    private final GatewayAddresses addresses = new GatewayAddresses(GATEWAYS);
    private final NbdGateway[] gateways = new NbdGateway[GATEWAYS];
    private final List<String> journal = new ArrayList<>();
    private long acknowledged;
    private long checkedBlocks;
    private long startedAtNanos;
    private int starts;

    /**
     * Creates a run that has not started yet.
     *
     * @param folder receives the files in which a gateway keeps its list and holders
     */
    public OrderSoakRun(long seed, Path folder, long lengthMillis) {
        this.seed = seed;
        this.folder = folder;
        this.lengthMillis = lengthMillis;
        this.random = new Random(seed);
        this.readsInOrder = random.nextBoolean();
        List<NodeProfile> profiles = new ArrayList<>();
        for (int i = 1; i <= NODES; i++) {
            profiles.add(
                    NodeProfile.zeroCost(i, EXTENT_BYTES).withCost(SERVICE_MILLIS, SERVICE_MILLIS));
        }
        this.cluster = LocalCluster.start(profiles, TrafficRecorder.NO_OP, NODES);
    }

    /** Executes the run and returns a description of each violation. */
    @Override
    public List<String> violations() throws InterruptedException, SiteConfigException {
        for (int i = 0; i < GATEWAYS; i++) {
            start(i);
        }
        startedAtNanos = System.nanoTime();
        journal.add("reads in order: " + readsInOrder);
        List<CommandClient> clients = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(newClient(i));
            threads.add(new Thread(clients.get(i), "order-client-" + i));
        }
        threads.forEach(Thread::start);
        while (elapsedMillis() < lengthMillis) {
            Thread.sleep(MIN_FAULT_PAUSE_MILLIS + random.nextInt(MAX_FAULT_PAUSE_MILLIS));
            inject(Fault.values()[random.nextInt(Fault.values().length)]);
        }
        clients.forEach(CommandClient::stop);
        for (Thread thread : threads) {
            thread.join();
        }
        return collect(clients);
    }

    /** Returns the number of commands that were acknowledged. */
    @Override
    public long served() {
        return acknowledged;
    }

    /** Returns the number of blocks whose data was compared. */
    public long checkedBlocks() {
        return checkedBlocks;
    }

    /** Returns the drawn faults in their order. */
    @Override
    public String journalText() {
        return "seed " + seed + "\n  " + String.join("\n  ", journal);
    }

    private List<String> collect(List<CommandClient> clients) {
        List<String> violations = new ArrayList<>();
        for (CommandClient client : clients) {
            violations.addAll(client.violations());
            acknowledged += client.acknowledged();
            checkedBlocks += client.checkedBlocks();
        }
        return violations;
    }

    private CommandClient newClient(int number) {
        return new CommandClient(
                new CommandClient.ClientSettings(
                        "demo",
                        BURST_EXTENTS + (long) number * EXTENTS_PER_CLIENT,
                        EXTENTS_PER_CLIENT,
                        EXTENT_BYTES,
                        readsInOrder),
                addresses,
                cluster.loops(),
                random.nextLong());
    }

    private void start(int number) throws SiteConfigException {
        gateways[number] = cluster.open(site(number), seed * 1_000 + ++starts);
        addresses.set(number, gateways[number].address());
    }

    private String site(int number) {
        long extents = BURST_EXTENTS + (long) CLIENTS * EXTENTS_PER_CLIENT;
        String site =
                LocalCluster.demoSite(
                                "gateway-" + number,
                                number,
                                GATEWAYS,
                                0,
                                cluster.directory().address())
                        .replace("extent = 1 MiB", "extent = " + EXTENT_BYTES)
                        .replace("size = 64 MiB", "size = " + extents * EXTENT_BYTES)
                        .replace("rate = 4000\nreserve = 2000", "rate = 1000000")
                        .replace("writes = yes", "writes = yes\nin-order = yes");
        if (readsInOrder) {
            site = site.replace("[band read]", "[band read]\nin-order = yes");
        }
        if (number == 0) {
            site +=
                    "\n[membership]\nlist = "
                            + folder.resolve("list")
                            + "\nholders = "
                            + folder.resolve("holders")
                            + "\n";
        }
        return site;
    }

    private void inject(Fault fault) throws InterruptedException, SiteConfigException {
        StandInNode node = cluster.nodes().get(random.nextInt(NODES));
        int gateway = random.nextInt(GATEWAYS);
        int millis = 1 + random.nextInt(MAX_FAULT_MILLIS);
        journal.add(elapsedMillis() + " ms: " + fault + ", " + millis + " ms");
        switch (fault) {
            case KILL -> {
                LocalCluster.await(gateways[gateway].kill());
                start(gateway);
            }
            case RESTART -> {
                LocalCluster.await(gateways[gateway].stop());
                start(gateway);
            }
            case SLOW_DIRECTORY -> {
                cluster.directory().delayAnswers(1 + random.nextInt(MAX_DIRECTORY_DELAY_MILLIS));
                Thread.sleep(millis);
                cluster.directory().delayAnswers(0);
            }
            case SILENT_DIRECTORY -> {
                cluster.directory().setUnresponsive(true);
                Thread.sleep(millis);
                cluster.directory().setUnresponsive(false);
            }
            case DIRECTORY_RESTART -> LocalCluster.await(cluster.directory().restart());
            case NODE_PAUSE -> {
                node.pause(true);
                Thread.sleep(millis);
                node.pause(false);
            }
            case SLOW_NODE -> {
                node.faults().slowdownFactor = SLOWDOWN_FACTOR;
                Thread.sleep(millis);
                node.faults().slowdownFactor = 1;
            }
            case BURST -> burst(gateway);
        }
    }

    /** Sends writes to the extents that no client checks, and waits for their replies. */
    private void burst(int gateway) {
        NbdClient client =
                LocalCluster.await(
                        NbdClient.open(
                                cluster.loops(),
                                EventLoops.socket(),
                                addresses.address(gateway),
                                "demo",
                                NbdClient.Style.GO));
        List<CompletableFuture<Void>> writes = new ArrayList<>();
        for (int i = 0; i < BURST_WRITES; i++) {
            long offset = (long) random.nextInt(BURST_EXTENTS) * EXTENT_BYTES;
            writes.add(
                    client.request(
                                    NbdConstants.CMD_WRITE,
                                    0,
                                    offset,
                                    EXTENT_BYTES,
                                    Unpooled.wrappedBuffer(new byte[EXTENT_BYTES]))
                            .thenAccept(reply -> reply.release()));
        }
        LocalCluster.await(CompletableFuture.allOf(writes.toArray(new CompletableFuture<?>[0])));
        client.channel().close();
    }

    private long elapsedMillis() {
        return (System.nanoTime() - startedAtNanos) / 1_000_000;
    }

    @Override
    public void close() {
        cluster.close();
    }
}
