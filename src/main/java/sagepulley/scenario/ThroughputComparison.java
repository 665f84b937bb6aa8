package sagepulley.scenario;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import sagepulley.codec.frame.EventLoops;
import sagepulley.codec.nbd.NbdClient;
import sagepulley.codec.nbd.NbdConstants;
import sagepulley.config.SiteConfigException;
import sagepulley.frontend.nbd.NbdGateway;
import sagepulley.standin.NodeProfile;
import sagepulley.standin.TrafficRecorder;

/**
 * Compares requests through the gateway with requests sent from client to node directly, at a fixed
 * number of requests in flight. Both paths alternate in one run, so that their ratio is meaningful.
 */
public final class ThroughputComparison {
    private static final int EXTENT_BYTES = 1 << 20;
    private static final int EXTENTS = 48;

    /**
     * The measurements of one path.
     *
     * @param perSecond completed requests per second
     * @param p50 the median latency in microseconds
     * @param p99 the 99th percentile of the latency in microseconds
     * @param failed the number of failed requests
     */
    public record PathMetrics(double perSecond, double p50, double p99, long failed) {}

    /**
     * The measurements of both paths for one kind, size and depth. With {@link
     * ThroughputComparison#compareRecordKeeping} the direct path is the gateway without records.
     *
     * @param heapBytes heap bytes allocated by gateway threads per request through the gateway
     * @param loopBusyMicros CPU microseconds of gateway threads per request through the gateway
     * @param directHeapBytes the same as heapBytes for the direct path
     * @param directBusyMicros the same as loopBusyMicros for the direct path
     */
    public record Row(
            String kind,
            int bytes,
            int depth,
            PathMetrics direct,
            PathMetrics through,
            double heapBytes,
            double loopBusyMicros,
            double directHeapBytes,
            double directBusyMicros) {}

    /** The records that the second of two compared gateways keeps and the first does not. */
    public enum RecordKeeping {
        NEITHER,
        ACCOUNTS,
        BOTH
    }

    private final double seconds;
    private final int rounds;

    /**
     * Creates a comparison.
     *
     * @param seconds the total duration of each path in a row
     * @param rounds the number of turns that the duration is split into
     */
    public ThroughputComparison(double seconds, int rounds) {
        this.seconds = seconds;
        this.rounds = rounds;
    }

    /** Sends one request. The callback receives whether it was served. */
    private interface RequestSender {
        void send(int requestNumber, Consumer<Boolean> onEnd);
    }

    /** Compares the gateway with the direct path for all kinds, sizes and depths. */
    public List<Row> run(int nodes, int[] sizes, int[] depths) throws SiteConfigException {
        EventLoopGroup clients = EventLoops.group(1, "client-side");
        List<Row> rows = new ArrayList<>();
        try (LocalCluster cluster = LocalCluster.start(profiles(nodes), TrafficRecorder.NO_OP, 2)) {
            NbdGateway gateway =
                    cluster.open(
                            LocalCluster.demoSite("gw", 0, 1, 0, cluster.directory().address()), 1);
            NbdClient client =
                    LocalCluster.await(
                            NbdClient.open(
                                    clients,
                                    EventLoops.socket(),
                                    gateway.address(),
                                    "demo",
                                    NbdClient.Style.GO));
            for (int i = 0; i < EXTENTS; i++) {
                LocalCluster.await(client.write(i * (long) EXTENT_BYTES, new byte[EXTENT_BYTES]))
                        .release();
            }
            DirectClient direct = new DirectClient(cluster.nodes(), EXTENT_BYTES, clients.next());
            for (boolean isRead : new boolean[] {true, false}) {
                for (int bytes : sizes) {
                    for (int depth : depths) {
                        ByteBuf data = Unpooled.directBuffer(bytes).writeZero(bytes);
                        RequestSender directSender =
                                (requestNumber, onEnd) ->
                                        direct.send(
                                                isRead,
                                                requestNumber % EXTENTS,
                                                requestNumber
                                                        / EXTENTS
                                                        % (EXTENT_BYTES / bytes)
                                                        * bytes,
                                                bytes,
                                                data,
                                                onEnd);
                        rows.add(
                                measureRow(
                                        clients.next(),
                                        directSender,
                                        gatewaySender(client, isRead, bytes, data),
                                        isRead,
                                        bytes,
                                        depth));
                        data.release();
                    }
                }
            }
            client.channel().close().syncUninterruptibly();
        } finally {
            clients.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
        return rows;
    }

    /** Returns a sender that sends requests through a gateway. */
    private static RequestSender gatewaySender(
            NbdClient client, boolean isRead, int bytes, ByteBuf data) {
        int positions = EXTENT_BYTES / bytes;
        return (requestNumber, onEnd) -> {
            long offset =
                    (requestNumber % EXTENTS) * (long) EXTENT_BYTES
                            + requestNumber / EXTENTS % positions * (long) bytes;
            client.request(
                    isRead ? NbdConstants.CMD_READ : NbdConstants.CMD_WRITE,
                    0,
                    offset,
                    bytes,
                    isRead ? Unpooled.EMPTY_BUFFER : data.retainedDuplicate(),
                    (reply, failure) -> {
                        boolean succeeded = failure == null && reply.error == 0;
                        if (reply != null) {
                            reply.release();
                        }
                        onEnd.accept(succeeded);
                    });
        };
    }

    /**
     * Compares a gateway that keeps accounts, or accounts and traces, with one that keeps neither,
     * which takes the place of the direct path. With {@link RecordKeeping#NEITHER} the result shows
     * the difference between two equal gateways.
     *
     * @param folder the folder of the accounts and traces
     */
    public List<Row> compareRecordKeeping(
            int nodes, int[] sizes, int[] depths, RecordKeeping records, Path folder)
            throws SiteConfigException {
        EventLoopGroup clients = EventLoops.group(1, "client-side");
        List<Row> rows = new ArrayList<>();
        try (LocalCluster cluster = LocalCluster.start(profiles(nodes), TrafficRecorder.NO_OP, 2)) {
            String site = LocalCluster.demoSite("gw", 0, 2, 0, cluster.directory().address());
            NbdClient[] sideClients = new NbdClient[2];
            for (int i = 0; i < 2; i++) {
                String sections =
                        i == 0 || records == RecordKeeping.NEITHER
                                ? "\n[accounts]\nkeep = no\n"
                                : "\n[accounts]\nfile = "
                                        + folder.resolve("accounts")
                                        + (records == RecordKeeping.BOTH
                                                ? "\n[traces]\nfile = " + folder.resolve("traces")
                                                : "")
                                        + "\n";
                NbdGateway gateway =
                        cluster.open(site.replace("name = gw", "name = gw" + i) + sections, i + 1);
                sideClients[i] =
                        LocalCluster.await(
                                NbdClient.open(
                                        clients,
                                        EventLoops.socket(),
                                        gateway.address(),
                                        "demo",
                                        NbdClient.Style.GO));
            }
            for (int i = 0; i < EXTENTS; i++) {
                LocalCluster.await(
                                sideClients[0].write(
                                        i * (long) EXTENT_BYTES, new byte[EXTENT_BYTES]))
                        .release();
                LocalCluster.await(sideClients[1].read(i * (long) EXTENT_BYTES, 4096)).release();
            }
            for (boolean isRead : new boolean[] {true, false}) {
                for (int bytes : sizes) {
                    for (int depth : depths) {
                        ByteBuf data = Unpooled.directBuffer(bytes).writeZero(bytes);
                        rows.add(
                                measureRow(
                                        clients.next(),
                                        gatewaySender(sideClients[0], isRead, bytes, data),
                                        gatewaySender(sideClients[1], isRead, bytes, data),
                                        isRead,
                                        bytes,
                                        depth));
                        data.release();
                    }
                }
            }
            for (NbdClient client : sideClients) {
                client.channel().close().syncUninterruptibly();
            }
        } finally {
            clients.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
        return rows;
    }

    private static List<NodeProfile> profiles(int nodes) {
        List<NodeProfile> profiles = new ArrayList<>();
        for (int i = 1; i <= nodes; i++) {
            NodeProfile defaults = NodeProfile.zeroCost(i, EXTENT_BYTES);
            profiles.add(
                    new NodeProfile(
                            i,
                            i,
                            0,
                            0,
                            64,
                            0,
                            0,
                            4096,
                            EXTENT_BYTES,
                            defaults.slowStartShare(),
                            defaults.slowStartMillis(),
                            defaults.overloadMultiple(),
                            defaults.overloadWindowMillis(),
                            defaults.slowStartUnits(),
                            0,
                            1000,
                            null));
        }
        return profiles;
    }

    private Row measureRow(
            EventLoop loop,
            RequestSender directSender,
            RequestSender viaGateway,
            boolean isRead,
            int bytes,
            int depth) {
        Totals directTotals = new Totals();
        Totals gatewayTotals = new Totals();
        runPhase(loop, directSender, depth, seconds / 2, new Totals());
        runPhase(loop, viaGateway, depth, seconds / 2, new Totals());
        for (int i = 0; i < rounds; i++) {
            for (boolean isDirect : new boolean[] {i % 2 == 0, i % 2 != 0}) {
                Totals totals = isDirect ? directTotals : gatewayTotals;
                long[] before = gatewayThreadUsage();
                runPhase(
                        loop,
                        isDirect ? directSender : viaGateway,
                        depth,
                        seconds / rounds,
                        totals);
                long[] after = gatewayThreadUsage();
                totals.allocatedBytes += after[0] - before[0];
                totals.cpuNanos += after[1] - before[1];
            }
        }
        return new Row(
                isRead ? "read" : "write",
                bytes,
                depth,
                directTotals.metrics(),
                gatewayTotals.metrics(),
                (double) gatewayTotals.allocatedBytes / gatewayTotals.completed,
                gatewayTotals.cpuNanos / 1e3 / gatewayTotals.completed,
                (double) directTotals.allocatedBytes / directTotals.completed,
                directTotals.cpuNanos / 1e3 / directTotals.completed);
    }

    private static final class Totals {
        final Histogram latencies = new Histogram(60_000_000_000L, 3);
        long completed;
        long failed;
        double elapsedSeconds;
        long allocatedBytes;
        long cpuNanos;

        PathMetrics metrics() {
            return new PathMetrics(
                    completed / elapsedSeconds,
                    latencies.getValueAtPercentile(50) / 1e3,
                    latencies.getValueAtPercentile(99) / 1e3,
                    failed);
        }
    }

    /** Keeps a fixed number of requests in flight for a duration and adds up the results. */
    private void runPhase(
            EventLoop loop,
            RequestSender sender,
            int depth,
            double durationSeconds,
            Totals totals) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        loop.execute(
                new Runnable() {
                    private final long start = System.nanoTime();
                    private final long end = start + (long) (durationSeconds * 1e9);
                    private int requestNumber;
                    private int inFlight;

                    @Override
                    public void run() {
                        for (int i = 0; i < depth; i++) {
                            sendNext();
                        }
                    }

                    private void sendNext() {
                        long sentAtNanos = System.nanoTime();
                        if (sentAtNanos >= end) {
                            if (inFlight == 0) {
                                totals.elapsedSeconds += (sentAtNanos - start) / 1e9;
                                done.complete(null);
                            }
                            return;
                        }
                        inFlight++;
                        sender.send(
                                requestNumber++,
                                succeeded -> {
                                    totals.latencies.recordValue(System.nanoTime() - sentAtNanos);
                                    totals.completed++;
                                    totals.failed += succeeded ? 0 : 1;
                                    inFlight--;
                                    sendNext();
                                });
                    }
                });
        LocalCluster.await(done);
    }

    /** Returns the heap bytes allocated and the CPU nanoseconds used by the gateway's threads. */
    private static long[] gatewayThreadUsage() {
        com.sun.management.ThreadMXBean threads =
                (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
        long[] sums = new long[2];
        for (ThreadInfo thread : threads.getThreadInfo(threads.getAllThreadIds())) {
            if (thread != null && thread.getThreadName().startsWith("gateway")) {
                sums[0] += threads.getThreadAllocatedBytes(thread.getThreadId());
                sums[1] += threads.getThreadCpuTime(thread.getThreadId());
            }
        }
        return sums;
    }
}
