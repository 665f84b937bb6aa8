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

/**
 * One NBD gateway in service: owns the listener, the client connections, the event loops and the
 * snapshot files around the engine. Its public methods may be called from any thread.
 */
public final class NbdGateway {
    /** So many volumes, the first of the site file, have totals of their own since the start. */
    public static final int MAX_VOLUMES_WITH_TOTALS = 100;

    private static final double ENDPOINT_LIST_CHECK_INTERVAL_MILLIS = 500;
    private static final double HOLDERS_CHECK_INTERVAL_MILLIS = 10_000;

    /** A client that stops inside a message, or reads no replies, for so long is disconnected. */
    private static final int CLIENT_IDLE_TIMEOUT_SECONDS = 30;

    /** How long the last replies have to leave the sockets at the graceful shutdown. */
    private static final long REPLY_FLUSH_MILLIS = 20;

    private static final int LISTEN_BACKLOG = 1024;
    private static final Logger LOG = LoggerFactory.getLogger(NbdGateway.class);

    private final SiteConfig site;
    private final EventLoopGroup engineGroup = EventLoops.group(1, "gateway");
    private final EventLoopGroup clientGroup;
    private final NbdEngine engine;
    private final BufferBudget bufferBudget;
    private final ChannelGroup clients = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final AtomicReference<CompletableFuture<Void>> stopResult = new AtomicReference<>();
    private Channel listener;
    private final Tracer tracer;
    private final List<PeriodicWriter<?>> snapshotWriters = new ArrayList<>();

    /**
     * A gateway that is not started yet.
     *
     * @param seed starts the random draws; it must differ at each start, for it names this
     *     incarnation of the gateway
     */
    public NbdGateway(SiteConfig site, long seed) {
        this(site, seed, new Scheduler(site.deployment(), seed), newMembership(site, seed));
    }

    /** With another membership, to measure baselines. */
    public NbdGateway(SiteConfig site, long seed, Membership membership) {
        this(site, seed, new Scheduler(site.deployment(), seed), membership);
    }

    NbdGateway(SiteConfig site, long seed, Scheduler scheduler, Membership membership) {
        this.site = site;
        this.clientGroup =
                site.eventLoops() > 1
                        ? EventLoops.group(site.eventLoops() - 1, "client")
                        : engineGroup;
        this.bufferBudget = new BufferBudget(site.maxTotalBytes());
        this.tracer = site.tracing().isEnabled() ? new Tracer(site.tracing(), site.name()) : null;
        this.engine =
                new NbdEngine(
                        site,
                        engineGroup.next(),
                        EventLoops.socket(),
                        new Clock(),
                        seed,
                        scheduler,
                        membership,
                        tracer);
    }

    static Membership newMembership(SiteConfig site, long seed) {
        Membership.Policy defaults = Membership.Policy.DEFAULT;
        return new Membership(
                site.siteName(),
                new Membership.Policy(
                        site.membership().freshMillis(),
                        site.membership().agedMillis(),
                        site.membership().maxConcurrentProbes(),
                        defaults.probeIntervalMillis(),
                        defaults.verificationMillis(),
                        defaults.omissionGraceMillis(),
                        defaults.initialHoldDownMillis(),
                        defaults.maxHoldDownMillis()),
                new SplittableRandom(seed));
    }

    /** Listens once an endpoint list is known, and is ready then; fails if it cannot listen. */
    public CompletableFuture<NbdGateway> start() {
        CompletableFuture<NbdGateway> ready = new CompletableFuture<>();
        AccountFile.Loaded storedAccounts = readStoredAccounts();
        StoredEndpointList storedList = readStoredEndpointList();
        Map<Integer, int[]> storedHolders = readStoredHolders();
        engineGroup
                .next()
                .execute(
                        () -> {
                            engine.restore(storedList, storedHolders);
                            if (storedAccounts != null) {
                                engine.restoreAccounts(storedAccounts.account());
                            }
                            engine.start(() -> listen(ready));
                        });
        return ready;
    }

    /**
     * What an earlier incarnation stored; null if there is nothing valid. That never keeps a
     * gateway from starting.
     */
    private AccountFile.Loaded readStoredAccounts() {
        if (!site.accounts().enabled() || site.accounts().file() == null) {
            return null;
        }
        AccountFile file = new AccountFile(site.accounts().file(), site.name());
        snapshotWriters.add(
                new PeriodicWriter<>(
                        "accounts",
                        site.accounts().writeIntervalMillis(),
                        engine.accountReports()::snapshot,
                        file::write));
        try {
            return file.load();
        } catch (IOException e) {
            LOG.atWarn()
                    .addKeyValue("file", site.accounts().file())
                    .addKeyValue("why", e.toString())
                    .log("stored accounts not read");
            return null;
        }
    }

    private StoredEndpointList readStoredEndpointList() {
        if (site.membership().listFile() == null) {
            return null;
        }
        EndpointListFile file = new EndpointListFile(site.membership().listFile(), site.siteName());
        snapshotWriters.add(
                new PeriodicWriter<>(
                        "list",
                        ENDPOINT_LIST_CHECK_INTERVAL_MILLIS,
                        engine::endpointListSnapshot,
                        list -> file.write(list, System.currentTimeMillis())));
        return file.load();
    }

    private Map<Integer, int[]> readStoredHolders() {
        if (site.membership().holderFile() == null) {
            return Map.of();
        }
        HolderFile file = new HolderFile(site.membership().holderFile(), site.siteName());
        snapshotWriters.add(
                new PeriodicWriter<>(
                        "holders",
                        HOLDERS_CHECK_INTERVAL_MILLIS,
                        engine.holderSnapshots()::take,
                        cells -> file.write(cells, System.currentTimeMillis())));
        return file.load();
    }

    private void listen(CompletableFuture<NbdGateway> ready) {
        new ServerBootstrap()
                .group(clientGroup)
                .channel(EventLoops.server())
                .option(ChannelOption.SO_BACKLOG, LISTEN_BACKLOG)
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
                    .log("too many clients, connection rejected");
            client.close();
            return;
        }
        clients.add(client);
        engine.counters().clients.increment();
        client.closeFuture().addListener(done -> engine.counters().clientsEnded.increment());
        BufferBudget.ClientBudget budget = bufferBudget.client(site.maxClientBytes());
        client.pipeline()
                .addLast(
                        new IdleStateHandler(
                                CLIENT_IDLE_TIMEOUT_SECONDS, CLIENT_IDLE_TIMEOUT_SECONDS, 0));
        NbdServer.addTo(
                client.pipeline(), new VolumeExports(), budget, new NbdSession(engine, budget));
    }

    /** The volumes as exports; the first is the default. */
    private final class VolumeExports implements Exports {
        @Override
        public List<Export> all() {
            return engine.exportedVolumes().values().stream().map(volume -> volume.export).toList();
        }

        @Override
        public Export named(String name) {
            if (name.isEmpty() && !engine.exportedVolumes().isEmpty()) {
                return all().get(0);
            }
            ExportedVolume volume = engine.exportedVolume(name);
            return volume == null ? null : volume.export;
        }
    }

    /** Where NBD clients connect, once ready. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Counts since the start. */
    public Counters counters() {
        return engine.counters();
    }

    /** Each volume's latency account of the last so many milliseconds, by its name. */
    public CompletableFuture<Map<String, LatencyReport>> accounts(double recentMillis) {
        return engine.accountReports().recent(recentMillis);
    }

    /** The nodes as the gateway sees them. */
    public CompletableFuture<NodesView> nodes() {
        return engine.nodesView();
    }

    /** Sums of the accounts since the start. */
    public CompletableFuture<Totals> totals() {
        return engine.accountReports().totals();
    }

    /** Traces recorded since the start; 0 if traces are not wanted. */
    public long tracesRecorded() {
        return tracer == null ? 0 : tracer.exported();
    }

    /** Traces dropped since the start; 0 if traces are not wanted. */
    public long tracesDropped() {
        return tracer == null ? 0 : tracer.dropped();
    }

    /** A copy of all accounts, as they go to disk. */
    public CompletableFuture<GatewayAccounts> accountSnapshot() {
        return engine.accountReports().snapshot();
    }

    /** Bytes of requests in flight now. */
    public long bytesInFlight() {
        return bufferBudget.usedBytes();
    }

    /** The most bytes of requests that were ever in flight at once. */
    public long maxBytesInFlight() {
        return bufferBudget.maxUsedBytes();
    }

    /**
     * Shuts down gracefully: refuses new requests, answers those in flight as far as the site's
     * time for it allows, then ends every connection.
     */
    public CompletableFuture<Void> stop() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        if (!stopResult.compareAndSet(null, stopped)) {
            return stopResult.get();
        }
        CompletableFuture<Void> requestsCompleted = new CompletableFuture<>();
        if (listener != null) {
            listener.close();
        }
        engine.stop(() -> requestsCompleted.complete(null));
        requestsCompleted.orTimeout((long) site.shutdownTimeoutMillis() + 1, TimeUnit.MILLISECONDS)
                .whenComplete(
                        (done, timeout) -> {
                            if (timeout != null) {
                                LOG.atWarn()
                                        .addKeyValue("open", counters().open())
                                        .log("stopped with operations in flight");
                            }
                            closeClients(stopped);
                        });
        return stopped;
    }

    private void closeClients(CompletableFuture<Void> stopped) {
        clients.flush();
        // What was answered last still has to leave the sockets.

        clientGroup
                .next()
                .schedule(
                        () -> clients.close().addListener(closed -> writeSnapshots(stopped)),
                        REPLY_FLUSH_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    /** Ends at once, as a killed process would: nothing is answered any more. */
    public CompletableFuture<Void> kill() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        if (!stopResult.compareAndSet(null, stopped)) {
            return stopResult.get();
        }
        if (listener != null) {
            listener.close();
        }
        snapshotWriters.forEach(PeriodicWriter::kill);
        clients.close().addListener(closed -> closeEngine(stopped));
        return stopped;
    }

    /** The last accounts are written while the loop still runs that owns them. */
    private void writeSnapshots(CompletableFuture<Void> stopped) {
        CompletableFuture.runAsync(
                        () -> {
                            snapshotWriters.forEach(PeriodicWriter::close);
                            if (tracer != null) {
                                tracer.close();
                            }
                        })
                .whenComplete((done, failure) -> closeEngine(stopped));
    }

    private void closeEngine(CompletableFuture<Void> stopped) {
        engineGroup
                .next()
                .execute(
                        () -> {
                            engine.close();
                            LOG.atInfo()
                                    .addKeyValue("gateway", site.name())
                                    .addKeyValue("accepted", counters().accepted.sum())
                                    .addKeyValue("served", counters().served.sum())
                                    .addKeyValue("rejected", counters().rejected.sum())
                                    .addKeyValue("abandoned", counters().abandoned.sum())
                                    .log("stopped");
                            clientGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
                            engineGroup
                                    .shutdownGracefully(0, 1, TimeUnit.SECONDS)
                                    .addListener(done -> stopped.complete(null));
                        });
    }
}
