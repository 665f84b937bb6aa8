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
import io.netty.util.internal.PlatformDependent;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
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
 * Runs one NBD gateway: owns the listener, the client connections, the event loops and the snapshot
 * files around the engine. Public methods may be called from any thread.
 */
public final class NbdGateway {
    /** Maximum number of volumes that have totals since the start: the first in the site file. */
    public static final int MAX_VOLUMES_WITH_TOTALS = 100;

    private static final double ENDPOINT_LIST_CHECK_INTERVAL_MILLIS = 500;
    private static final double HOLDERS_CHECK_INTERVAL_MILLIS = 10_000;

    /**
     * A client that stalls within a message or reads no replies is disconnected after this time.
     */
    private static final int CLIENT_IDLE_TIMEOUT_SECONDS = 30;

    /** Time for the last replies to leave the sockets if the shutdown's time limit is over. */
    private static final long MIN_REPLY_WRITE_NANOS = 20_000_000;

    private static final int LISTEN_BACKLOG = 1024;

    /** Exit status of an internal software error (sysexits.h, EX_SOFTWARE). */
    private static final int EVENT_LOOP_ENDED_STATUS = 70;

    private static final Logger LOG = LoggerFactory.getLogger(NbdGateway.class);

    private final SiteConfig site;
    private final EventLoopGroup engineGroup =
            EventLoops.group(1, "gateway", this::onEventLoopEnded);
    private final EventLoopGroup clientGroup;
    private final NbdEngine engine;
    private final BufferBudget bufferBudget;
    private final ChannelGroup clients = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final AtomicReference<CompletableFuture<Void>> stopResult = new AtomicReference<>();
    private Channel listener;
    private final Tracer tracer;
    private final List<PeriodicWriter<?>> snapshotWriters = new ArrayList<>();

    /**
     * Creates a gateway without starting it.
     *
     * @param seed seeds the random draws and identifies this incarnation of the gateway, so it must
     *     differ at each start
     */
    public NbdGateway(SiteConfig site, long seed) {
        this(site, seed, new Scheduler(site.deployment(), seed), newMembership(site, seed));
    }

    /** Creates a gateway with the given membership, which lets benchmarks measure a baseline. */
    public NbdGateway(SiteConfig site, long seed, Membership membership) {
        this(site, seed, new Scheduler(site.deployment(), seed), membership);
    }

    NbdGateway(SiteConfig site, long seed, Scheduler scheduler, Membership membership) {
        this.site = site;
        this.clientGroup =
                site.eventLoops() > 1
                        ? EventLoops.group(site.eventLoops() - 1, "client", this::onEventLoopEnded)
                        : engineGroup;
        this.bufferBudget = new BufferBudget(maxBufferBytes(site));
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

    /**
     * Returns the limit of buffered requests: the configured one, or half of the direct memory of
     * this process if that is less, but always enough for one client.
     */
    private static long maxBufferBytes(SiteConfig site) {
        long available = PlatformDependent.maxDirectMemory() / 2;
        if (site.maxTotalBytes() <= available) {
            return site.maxTotalBytes();
        }
        LOG.atWarn()
                .addKeyValue("configured", site.maxTotalBytes())
                .addKeyValue("available", available)
                .log("limit of buffered requests exceeds half of the direct memory");
        return Math.max(available, site.maxClientBytes());
    }

    /** Ends the process if an event loop ends before a stop, because nothing is served then. */
    private void onEventLoopEnded() {
        if (stopResult.get() == null) {
            LOG.atError().log("event loop ended, ending the process");
            Runtime.getRuntime().halt(EVENT_LOOP_ENDED_STATUS);
        }
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

    /**
     * Starts the gateway. It listens once an endpoint list is known; the future completes then, or
     * fails if the address cannot be bound.
     */
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
     * Returns the accounts that an earlier incarnation stored, or null if there are none that are
     * valid, and starts the periodic writes of the account file. A read failure does not prevent
     * the start.
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
                    .log("reading stored accounts failed");
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
                                    .addKeyValue("transport", EventLoops.transportName())
                                    .addKeyValue("volumes", site.volumes().size())
                                    .log("ready");
                            ready.complete(this);
                        });
    }

    private void accept(Channel client) {
        if (clients.size() >= site.maxClients()) {
            LOG.atWarn()
                    .addKeyValue("client", client.remoteAddress())
                    .log("client limit reached, connection rejected");
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

    /** Exposes the volumes as NBD exports; the first is the default export. */
    private final class VolumeExports implements Exports {
        @Override
        public List<Export> all() {
            return engine.exportedVolumes().values().stream().map(volume -> volume.export).toList();
        }

        @Override
        public Export findByName(String name) {
            if (name.isEmpty() && !engine.exportedVolumes().isEmpty()) {
                return all().get(0);
            }
            ExportedVolume volume = engine.exportedVolume(name);
            return volume == null ? null : volume.export;
        }
    }

    /** Returns the address that NBD clients connect to; available once the gateway is ready. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Returns the counters since the start. */
    public Counters counters() {
        return engine.counters();
    }

    /** Returns each volume's latency report for the given recent period, by volume name. */
    public CompletableFuture<Map<String, LatencyReport>> accounts(double recentMillis) {
        return engine.accountReports().recent(recentMillis);
    }

    /** Returns the gateway's current view of the nodes. */
    public CompletableFuture<NodesView> nodes() {
        return engine.nodesView();
    }

    /** Returns the totals of the accounts since the start. */
    public CompletableFuture<Totals> totals() {
        return engine.accountReports().totals();
    }

    /** Returns the number of traces recorded since the start; 0 if tracing is disabled. */
    public long tracesRecorded() {
        return tracer == null ? 0 : tracer.recorded();
    }

    /** Returns the number of traces dropped since the start; 0 if tracing is disabled. */
    public long tracesDropped() {
        return tracer == null ? 0 : tracer.dropped();
    }

    /** Returns a copy of all accounts in the form that is written to disk. */
    public CompletableFuture<GatewayAccounts> accountSnapshot() {
        return engine.accountReports().snapshot();
    }

    /** Returns the bytes of requests in flight. */
    public long bytesInFlight() {
        return bufferBudget.usedBytes();
    }

    /** Returns the maximum bytes of requests that were in flight at once. */
    public long maxBytesInFlight() {
        return bufferBudget.maxUsedBytes();
    }

    /**
     * Shuts down gracefully: refuses new requests, answers those in flight until the site's
     * shutdown timeout, then closes every connection.
     */
    public CompletableFuture<Void> stop() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        if (!stopResult.compareAndSet(null, stopped)) {
            return stopResult.get();
        }
        long deadlineNanos =
                System.nanoTime()
                        + TimeUnit.MILLISECONDS.toNanos((long) site.shutdownTimeoutMillis());
        CompletableFuture<Void> requestsCompleted = new CompletableFuture<>();
        if (listener != null) {
            listener.close();
        }
        engine.stop(() -> requestsCompleted.complete(null));
        requestsCompleted
                .orTimeout((long) site.shutdownTimeoutMillis() + 1, TimeUnit.MILLISECONDS)
                .whenComplete(
                        (done, timeout) -> {
                            if (timeout != null) {
                                LOG.atWarn()
                                        .addKeyValue("open", counters().open())
                                        .log("shutdown timed out with operations in flight");
                            }
                            closeClients(stopped, deadlineNanos);
                        });
        return stopped;
    }

    /** Closes each client's connection after its last reply, and all of them at the deadline. */
    private void closeClients(CompletableFuture<Void> stopped, long deadlineNanos) {
        for (Channel client : clients) {
            NbdSession session = client.pipeline().get(NbdSession.class);
            if (session == null) {
                client.close(); // accepted a moment ago
            } else {
                session.closeOnceAnswered();
            }
        }
        long remainingNanos = deadlineNanos - System.nanoTime();
        Future<?> timeout =
                clientGroup
                        .next()
                        .schedule(
                                () -> clients.close(),
                                Math.max(remainingNanos, MIN_REPLY_WRITE_NANOS),
                                TimeUnit.NANOSECONDS);
        clients.newCloseFuture()
                .addListener(
                        closed -> {
                            timeout.cancel(false);
                            writeSnapshots(stopped);
                        });
    }

    /** Stops immediately without answering requests or writing snapshots, like a killed process. */
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

    /**
     * Writes the last snapshots, then closes the engine. Snapshots are taken on the engine's event
     * loop, so it must still run.
     */
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
