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
 * Measures the way through the gateway against the way from client to node directly, by turns in
 * one run, at a fixed number of requests in flight. What counts is the ratio.
 */
public final class ThroughputComparison {
    private static final int EXTENT_BYTES = 1 << 20;
    private static final int EXTENTS = 48;

    /** One way's figures: requests a second, and times in microseconds. */
    public record PathMetrics(double perSecond, double p50, double p99, long failed) {}

    /** Both ways for one kind of request. */
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

    /** What the second of two gateways keeps that the first does not. */
    public enum RecordKeeping {
        NEITHER,
        ACCOUNTS,
        BOTH
    }

    private final double seconds;
    private final int rounds;

    /** Each way runs for so many seconds in all, in so many turns. */
    public ThroughputComparison(double seconds, int rounds) {
        this.seconds = seconds;
        this.rounds = rounds;
    }

    /** Asks one request; told whether it went well. */
    private interface RequestSender {
        void send(int number, Consumer<Boolean> ended);
    }

    /** Runs all kinds, sizes and depths. */
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
            for (boolean reads : new boolean[] {true, false}) {
                for (int bytes : sizes) {
                    for (int depth : depths) {
                        ByteBuf data = Unpooled.directBuffer(bytes).writeZero(bytes);
                        RequestSender straight =
                                (number, ended) ->
                                        direct.send(
                                                reads,
                                                number % EXTENTS,
                                                number / EXTENTS % (EXTENT_BYTES / bytes) * bytes,
                                                bytes,
                                                data,
                                                ended);
                        rows.add(
                                row(
                                        clients.next(),
                                        straight,
                                        through(client, reads, bytes, data),
                                        reads,
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

    /** The way through a gateway. */
    private static RequestSender through(NbdClient client, boolean reads, int bytes, ByteBuf data) {
        int places = EXTENT_BYTES / bytes;
        return (number, ended) -> {
            long offset =
                    (number % EXTENTS) * (long) EXTENT_BYTES
                            + number / EXTENTS % places * (long) bytes;
            client.request(
                    reads ? NbdConstants.CMD_READ : NbdConstants.CMD_WRITE,
                    0,
                    offset,
                    bytes,
                    reads ? Unpooled.EMPTY_BUFFER : data.retainedDuplicate(),
                    (reply, failure) -> {
                        boolean good = failure == null && reply.error == 0;
                        if (reply != null) {
                            reply.release();
                        }
                        ended.accept(good);
                    });
        };
    }

    /**
     * A gateway that keeps accounts, or traces too, against one that keeps neither, by turns, in
     * place of the direct way; files go to a folder. With neither on both sides it tells what
     * differs by itself.
     */
    public List<Row> compareRecordKeeping(
            int nodes, int[] sizes, int[] depths, RecordKeeping records, Path folder)
            throws SiteConfigException {
        EventLoopGroup clients = EventLoops.group(1, "client-side");
        List<Row> rows = new ArrayList<>();
        try (LocalCluster cluster = LocalCluster.start(profiles(nodes), TrafficRecorder.NO_OP, 2)) {
            String site = LocalCluster.demoSite("gw", 0, 2, 0, cluster.directory().address());
            NbdClient[] sides = new NbdClient[2];
            for (int i = 0; i < 2; i++) {
                String extra =
                        i == 0 || records == RecordKeeping.NEITHER
                                ? "\n[accounts]\nkeep = no\n"
                                : "\n[accounts]\nfile = "
                                        + folder.resolve("accounts")
                                        + (records == RecordKeeping.BOTH
                                                ? "\n[traces]\nfile = " + folder.resolve("traces")
                                                : "")
                                        + "\n";
                NbdGateway gateway =
                        cluster.open(site.replace("name = gw", "name = gw" + i) + extra, i + 1);
                sides[i] =
                        LocalCluster.await(
                                NbdClient.open(
                                        clients,
                                        EventLoops.socket(),
                                        gateway.address(),
                                        "demo",
                                        NbdClient.Style.GO));
            }
            for (int i = 0; i < EXTENTS; i++) {
                LocalCluster.await(sides[0].write(i * (long) EXTENT_BYTES, new byte[EXTENT_BYTES]))
                        .release();
                LocalCluster.await(sides[1].read(i * (long) EXTENT_BYTES, 4096)).release();
            }
            for (boolean reads : new boolean[] {true, false}) {
                for (int bytes : sizes) {
                    for (int depth : depths) {
                        ByteBuf data = Unpooled.directBuffer(bytes).writeZero(bytes);
                        rows.add(
                                row(
                                        clients.next(),
                                        through(sides[0], reads, bytes, data),
                                        through(sides[1], reads, bytes, data),
                                        reads,
                                        bytes,
                                        depth));
                        data.release();
                    }
                }
            }
            for (NbdClient side : sides) {
                side.channel().close().syncUninterruptibly();
            }
        } finally {
            clients.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
        return rows;
    }

    private static List<NodeProfile> profiles(int nodes) {
        List<NodeProfile> profiles = new ArrayList<>();
        for (int i = 1; i <= nodes; i++) {
            NodeProfile quick = NodeProfile.quick(i, EXTENT_BYTES);
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
                            quick.slowStartShare(),
                            quick.slowStartMillis(),
                            quick.overloadMultiple(),
                            quick.overloadWindowMillis(),
                            quick.slowStartUnits(),
                            0,
                            1000,
                            null));
        }
        return profiles;
    }

    private Row row(
            EventLoop loop,
            RequestSender straight,
            RequestSender through,
            boolean reads,
            int bytes,
            int depth) {
        Totals a = new Totals();
        Totals b = new Totals();
        phase(loop, straight, depth, seconds / 2, new Totals());
        phase(loop, through, depth, seconds / 2, new Totals());
        for (int i = 0; i < rounds; i++) {
            for (boolean first : new boolean[] {i % 2 == 0, i % 2 != 0}) {
                Totals totals = first ? a : b;
                long[] before = gatewayThreads();
                phase(loop, first ? straight : through, depth, seconds / rounds, totals);
                long[] after = gatewayThreads();
                totals.heap += after[0] - before[0];
                totals.cpu += after[1] - before[1];
            }
        }
        return new Row(
                reads ? "read" : "write",
                bytes,
                depth,
                a.way(),
                b.way(),
                (double) b.heap / b.ended,
                b.cpu / 1e3 / b.ended,
                (double) a.heap / a.ended,
                a.cpu / 1e3 / a.ended);
    }

    private static final class Totals {
        final Histogram times = new Histogram(60_000_000_000L, 3);
        long ended;
        long failed;
        double took;
        long heap;
        long cpu;

        PathMetrics way() {
            return new PathMetrics(
                    ended / took,
                    times.getValueAtPercentile(50) / 1e3,
                    times.getValueAtPercentile(99) / 1e3,
                    failed);
        }
    }

    /** Keeps so many requests in flight for a while. */
    private void phase(
            EventLoop loop, RequestSender asker, int depth, double length, Totals totals) {
        CompletableFuture<Void> over = new CompletableFuture<>();
        loop.execute(
                new Runnable() {
                    private final long start = System.nanoTime();
                    private final long end = start + (long) (length * 1e9);
                    private int number;
                    private int open;

                    @Override
                    public void run() {
                        for (int i = 0; i < depth; i++) {
                            next();
                        }
                    }

                    private void next() {
                        long begin = System.nanoTime();
                        if (begin >= end) {
                            if (open == 0) {
                                totals.took += (begin - start) / 1e9;
                                over.complete(null);
                            }
                            return;
                        }
                        open++;
                        asker.send(
                                number++,
                                good -> {
                                    totals.times.recordValue(System.nanoTime() - begin);
                                    totals.ended++;
                                    totals.failed += good ? 0 : 1;
                                    open--;
                                    next();
                                });
                    }
                });
        LocalCluster.await(over);
    }

    /** Heap bytes allocated, and nanoseconds of processor used, by the gateway's threads so far. */
    private static long[] gatewayThreads() {
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
