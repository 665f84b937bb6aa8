package sagepulley.frontend.nbd;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sagepulley.accounts.LatencyReport;
import sagepulley.accounts.Totals;
import sagepulley.codec.frame.EventLoops;
import sagepulley.codec.nbd.Export;
import sagepulley.codec.nbd.Exports;
import sagepulley.codec.nbd.NbdServer;
import sagepulley.config.SiteConfig;
import sagepulley.engine.Clock;
import sagepulley.membership.Membership;
import sagepulley.membership.StoredEndpointList;
import sagepulley.persistence.AccountFile;
import sagepulley.persistence.EndpointListFile;
import sagepulley.persistence.GatewayAccounts;
import sagepulley.persistence.HolderFile;
import sagepulley.persistence.PeriodicWriter;
import sagepulley.scheduler.Scheduler;
import sagepulley.tracing.Tracer;

/** One gateway in service: listens for NBD clients, and serves them by what Scheduler decides. */
public final class NbdGateway {
    /** So many volumes, the first of the site file, have sums of their own since the start. */
    public static final int MAX_VOLUMES_WITH_TOTALS = 100;

    private static final double LIST_LOOK_MS = 500;
    private static final double HOLDERS_LOOK_MS = 10_000;

    /** A client that stops inside a message, or reads no replies, for so long is ended. */
    private static final int STUCK_SECONDS = 30;

    private static final Logger LOG = LoggerFactory.getLogger(NbdGateway.class);

    private final SiteConfig site;
    private final EventLoopGroup houseGroup = EventLoops.group(1, "gateway");
    private final EventLoopGroup clientGroup;
    private final NbdEngine engine;
    private final BufferBudget bufferBudget;
    private final ChannelGroup clients = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final AtomicReference<CompletableFuture<Void>> ending = new AtomicReference<>();
    private Channel listener;
    private final Tracer tracer;
    private final List<PeriodicWriter<?>> keepers = new ArrayList<>();

    /**
     * The seed starts the module's chance and must differ at each start, for it names this life of
     * the gateway.
     */
    public NbdGateway(SiteConfig site, long seed) {
        this(site, seed, new Scheduler(site.deployment(), seed), membership(site, seed));
    }

    /** With another view of the nodes: baselines are measured so. */
    public NbdGateway(SiteConfig site, long seed, Membership membership) {
        this(site, seed, new Scheduler(site.deployment(), seed), membership);
    }

    NbdGateway(SiteConfig site, long seed, Scheduler scheduler, Membership membership) {
        this.site = site;
        this.clientGroup =
                site.eventLoops() > 1
                        ? EventLoops.group(site.eventLoops() - 1, "client")
                        : houseGroup;
        this.bufferBudget = new BufferBudget(site.maxTotalBytes());
        this.tracer = site.tracing().isEnabled() ? new Tracer(site.tracing(), site.name()) : null;
        this.engine =
                new NbdEngine(
                        site,
                        houseGroup.next(),
                        EventLoops.socket(),
                        new Clock(),
                        seed,
                        scheduler,
                        membership,
                        tracer);
    }

    static Membership membership(SiteConfig site, long seed) {
        Membership.Policy usual = Membership.Policy.DEFAULT;
        return new Membership(
                site.siteName(),
                new Membership.Policy(
                        site.membership().freshMillis(),
                        site.membership().agedMillis(),
                        site.membership().maxConcurrentProbes(),
                        usual.probeIntervalMillis(),
                        usual.verificationMillis(),
                        usual.omissionGraceMillis(),
                        usual.initialHoldDownMillis(),
                        usual.maxHoldDownMillis()),
                new SplittableRandom(seed));
    }

    /**
     * Begins to listen once the list of nodes has come; then it is ready. Fails if it cannot
     * listen.
     */
    public CompletableFuture<NbdGateway> start() {
        CompletableFuture<NbdGateway> ready = new CompletableFuture<>();
        AccountFile.Loaded before = accountsBefore();
        StoredEndpointList list = listBefore();
        Map<Integer, int[]> cells = holdersBefore();
        houseGroup
                .next()
                .execute(
                        () -> {
                            engine.restore(list, cells);
                            if (before != null) {
                                engine.goOn(before.account());
                            }
                            engine.start(() -> listen(ready));
                        });
        return ready;
    }

    /**
     * What an earlier life kept; null if nothing can be believed. That never keeps a gateway from
     * starting.
     */
    private AccountFile.Loaded accountsBefore() {
        if (!site.accounts().enabled() || site.accounts().file() == null) {
            return null;
        }
        AccountFile file = new AccountFile(site.accounts().file(), site.name());
        keepers.add(
                new PeriodicWriter<>(
                        "accounts",
                        site.accounts().writeIntervalMillis(),
                        engine::accountSnapshot,
                        file::write));
        try {
            return file.load();
        } catch (IOException e) {
            LOG.atWarn()
                    .addKeyValue("file", site.accounts().file())
                    .addKeyValue("why", e.toString())
                    .log("accounts of the earlier life not read");
            return null;
        }
    }

    private StoredEndpointList listBefore() {
        if (site.membership().listFile() == null) {
            return null;
        }
        EndpointListFile file = new EndpointListFile(site.membership().listFile(), site.siteName());
        keepers.add(
                new PeriodicWriter<>(
                        "list",
                        LIST_LOOK_MS,
                        engine::keptList,
                        list -> file.write(list, System.currentTimeMillis())));
        return file.load();
    }

    private Map<Integer, int[]> holdersBefore() {
        if (site.membership().holderFile() == null) {
            return Map.of();
        }
        HolderFile file = new HolderFile(site.membership().holderFile(), site.siteName());
        keepers.add(
                new PeriodicWriter<>(
                        "holders",
                        HOLDERS_LOOK_MS,
                        engine::keptHolders,
                        cells -> file.write(cells, System.currentTimeMillis())));
        return file.load();
    }

    private void listen(CompletableFuture<NbdGateway> ready) {
        new ServerBootstrap()
                .group(clientGroup)
                .channel(EventLoops.server())
                .option(ChannelOption.SO_BACKLOG, 1024)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel client) {
                                accept(client);
                            }
                        })
                .bind(site.nbd().socket())
                .addListener(
                        (io.netty.channel.ChannelFuture bound) -> {
                            if (!bound.isSuccess()) {
                                ready.completeExceptionally(bound.cause());
                                return;
                            }
                            listener = bound.channel();
                            LOG.atInfo()
                                    .addKeyValue("gateway", site.name())
                                    .addKeyValue("nbd", listener.localAddress())
                                    .addKeyValue("volumes", site.volumes().size())
                                    .log("ready");
                            ready.complete(this);
                        });
    }

    private void accept(Channel client) {
        if (clients.size() >= site.maxClients()) {
            LOG.atWarn()
                    .addKeyValue("client", client.remoteAddress())
                    .log("too many clients, turned away");
            client.close();
            return;
        }
        clients.add(client);
        engine.counters().clients.increment();
        client.closeFuture().addListener(done -> engine.counters().clientsEnded.increment());
        BufferBudget.Client part = bufferBudget.client(site.maxClientBytes());
        client.pipeline().addLast(new IdleStateHandler(STUCK_SECONDS, STUCK_SECONDS, 0));
        NbdServer.onto(client.pipeline(), new Offered(), part, new NbdSession(engine, part));
    }

    /** The volumes as exports; the first is the default. */
    private final class Offered implements Exports {
        @Override
        public List<Export> all() {
            return engine.disks().values().stream().map(disk -> disk.export).toList();
        }

        @Override
        public Export named(String name) {
            if (name.isEmpty() && !engine.disks().isEmpty()) {
                return all().get(0);
            }
            ExportedVolume disk = engine.disk(name);
            return disk == null ? null : disk.export;
        }
    }

    /** Where NBD clients connect, once ready. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    public Counters counters() {
        return engine.counters();
    }

    /** Each volume's account of latency over the last so many milliseconds, by its name. */
    public CompletableFuture<Map<String, LatencyReport>> accounts(double lately) {
        return engine.accounts(lately);
    }

    /** What it knows of its nodes. */
    public CompletableFuture<NodesView> nodes() {
        return engine.nodesView();
    }

    /** Sums of the accounts since the start. */
    public CompletableFuture<Totals> totals() {
        return engine.totals();
    }

    /** Traces made since the start, and those dropped; 0 where none go anywhere. */
    public long tracesRecorded() {
        return tracer == null ? 0 : tracer.exported();
    }

    public long tracesDropped() {
        return tracer == null ? 0 : tracer.dropped();
    }

    /** A copy of all accounts as they stand, as they go to disk. */
    public CompletableFuture<GatewayAccounts> accountSnapshot() {
        return engine.accountSnapshot();
    }

    /** Bytes of requests in hand now, and the most there ever were. */
    public long bytesInFlight() {
        return bufferBudget.used();
    }

    public long maxBytesInFlight() {
        return bufferBudget.highest();
    }

    /**
     * Takes nothing more, answers what it holds, at the latest within the site's time for it, then
     * ends every connection.
     */
    public CompletableFuture<Void> stop() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        if (!ending.compareAndSet(null, stopped)) {
            return ending.get();
        }
        CompletableFuture<Void> empty = new CompletableFuture<>();
        if (listener != null) {
            listener.close();
        }
        engine.stop(() -> empty.complete(null));
        empty.orTimeout((long) site.shutdownTimeoutMillis() + 1, TimeUnit.MILLISECONDS)
                .whenComplete(
                        (done, late) -> {
                            if (late != null) {
                                LOG.atWarn()
                                        .addKeyValue("open", counters().open())
                                        .log("stopped with operations in hand");
                            }
                            // What was answered last still has to leave the sockets.

                            clients.flush();
                            clientGroup
                                    .next()
                                    .schedule(
                                            () ->
                                                    clients.close()
                                                            .addListener(
                                                                    closed ->
                                                                            writeAccounts(stopped)),
                                            20,
                                            TimeUnit.MILLISECONDS);
                        });
        return stopped;
    }

    /** Ends at once, as a kill would: nothing is answered any more. */
    public CompletableFuture<Void> kill() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        if (!ending.compareAndSet(null, stopped)) {
            return ending.get();
        }
        if (listener != null) {
            listener.close();
        }
        keepers.forEach(PeriodicWriter::kill);
        clients.close().addListener(closed -> end(stopped));
        return stopped;
    }

    /** The last accounts are written while the loop still runs that owns them. */
    private void writeAccounts(CompletableFuture<Void> stopped) {
        CompletableFuture.runAsync(
                        () -> {
                            keepers.forEach(PeriodicWriter::close);
                            if (tracer != null) {
                                tracer.close();
                            }
                        })
                .whenComplete((done, failure) -> end(stopped));
    }

    private void end(CompletableFuture<Void> stopped) {
        houseGroup
                .next()
                .execute(
                        () -> {
                            engine.close();
                            LOG.atInfo()
                                    .addKeyValue("gateway", site.name())
                                    .addKeyValue("taken", counters().accepted.sum())
                                    .addKeyValue("satisfied", counters().served.sum())
                                    .addKeyValue("declined", counters().rejected.sum())
                                    .addKeyValue("scrapped", counters().abandoned.sum())
                                    .log("stopped");
                            clientGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
                            houseGroup
                                    .shutdownGracefully(0, 1, TimeUnit.SECONDS)
                                    .addListener(done -> stopped.complete(null));
                        });
    }
}
