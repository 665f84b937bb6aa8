package sagepulley.frontend.nbd;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntConsumer;
import sagepulley.accounts.LatencyAccount;
import sagepulley.codec.nbd.NbdConstants;
import sagepulley.codec.nbd.NbdRequest;
import sagepulley.config.MembershipSettings;
import sagepulley.config.SiteConfig;
import sagepulley.discovery.directory.DirectoryClient;
import sagepulley.discovery.directory.DirectoryMessages;
import sagepulley.engine.Clock;
import sagepulley.membership.EndpointRecord;
import sagepulley.membership.Membership;
import sagepulley.membership.StoredEndpointList;
import sagepulley.model.Node;
import sagepulley.model.Outcome;
import sagepulley.scheduler.Scheduler;
import sagepulley.tracing.TailSampler;
import sagepulley.tracing.Tracer;
import sagepulley.upstream.frame.NodeConnection;
import sagepulley.upstream.frame.StoreMessages;

/**
 * Serves NBD requests. Composes the modules that locate extents, dispatch operations, follow the
 * endpoint list and keep the accounts, and forwards to them the events from client sessions, nodes
 * and the directory. Confined to one event loop, except for methods documented otherwise.
 */
final class NbdEngine implements DirectoryClient.Listener, NodeConnectionRegistry.Listener {
    private final SiteConfig site;
    private final EventLoop loop;
    private final Clock clock;
    private final Scheduler scheduler;
    private final Map<String, ExportedVolume> exportedVolumes;
    private final Counters counters = new Counters();
    private final PendingRequests requests = new PendingRequests(this::flushBeforeReply);
    private final RequestSplitter splitter;
    private final NodeConnectionRegistry connections;
    private final DirectoryClient directory;
    private final OperationAccounting accounting;
    private final OperationDispatcher dispatcher;
    private final ExtentLocator locator;
    private final FlushPlanner flushPlanner;
    private final SessionQueues sessionQueues;
    private final EndpointListFollower endpointList;
    private final AccountReports accountReports;
    private final HolderSnapshots holderSnapshots;

    /**
     * @param seed seeds the random draws and identifies this incarnation of the gateway to nodes
     *     and the directory
     * @param tracer null if tracing is disabled
     */
    NbdEngine(
            SiteConfig site,
            EventLoop loop,
            Class<? extends Channel> channelType,
            Clock clock,
            long seed,
            Scheduler scheduler,
            Membership membership,
            Tracer tracer) {
        this.site = site;
        this.loop = loop;
        this.clock = clock;
        this.scheduler = scheduler;
        this.exportedVolumes = ExportedVolume.all(site);
        this.splitter = new RequestSplitter(site);
        SplittableRandom random = new SplittableRandom(seed);
        SplittableRandom backoffRandom = random.split();
        SplittableRandom samplerRandom = random.split();
        this.connections =
                new NodeConnectionRegistry(
                        loop,
                        channelType,
                        site.extentBytes(),
                        new StoreMessages.Hello(seed, site.name()),
                        clock,
                        this);
        this.directory =
                new DirectoryClient(
                        loop, channelType, site.directory().socket(), seed, site.name(), this);
        TailSampler sampler =
                new TailSampler(
                        site.tracing().maxTracesPerSecond(),
                        site.tracing().sampleProbability(),
                        samplerRandom);
        this.accounting =
                new OperationAccounting(
                        site,
                        clock,
                        scheduler,
                        connections,
                        new OperationTracing(site.name(), clock, sampler, tracer));
        this.dispatcher =
                new OperationDispatcher(
                        loop,
                        clock,
                        scheduler,
                        directory,
                        connections,
                        site.extentBytes(),
                        accounting,
                        requests,
                        counters);
        this.locator = dispatcher.locator();
        this.flushPlanner = newFlushPlanner();
        this.sessionQueues = newSessionQueues();
        this.endpointList =
                new EndpointListFollower(
                        loop,
                        clock,
                        membership,
                        directory,
                        scheduler,
                        connections,
                        accounting,
                        exportedVolumes.values(),
                        dispatcher::scheduleTurn,
                        requests::isStopping,
                        backoffRandom);
        this.accountReports =
                new AccountReports(
                        site.name(),
                        loop,
                        clock,
                        exportedVolumes,
                        accounting.accounts(),
                        endpointList::listVersions);
        this.holderSnapshots = new HolderSnapshots(loop, locator, exportedVolumes.values());
    }

    private SessionQueues newSessionQueues() {
        return new SessionQueues(
                loop, clock, splitter, this::dispatchPart, dispatcher, requests::complete);
    }

    private FlushPlanner newFlushPlanner() {
        return new FlushPlanner(
                loop,
                directory,
                locator,
                site.deployment(),
                this::forEachKnownCell,
                this::dispatchFlush);
    }

    // ---- start and shutdown ----

    /**
     * Restores the state that an earlier incarnation stored. Called on the event loop before the
     * start.
     *
     * @param storedList the endpoint list, or null
     * @param storedHolders the cell of each extent (negative for none), by volume id
     */
    void restore(StoredEndpointList storedList, Map<Integer, int[]> storedHolders) {
        if (storedList != null) {
            endpointList.restore(storedList);
        }
        for (ExportedVolume volume : exportedVolumes.values()) {
            locator.restore(volume, storedHolders.getOrDefault(volume.settings.id(), new int[0]));
        }
    }

    /** Restores the accounts of an earlier incarnation. Called on the event loop. */
    void restoreAccounts(LatencyAccount account) {
        accounting.accounts().restore(account, clock.now());
    }

    /**
     * Starts to follow the endpoint list and runs the callback once a list is known. If the list
     * has to be fetched first, the extent holders are preloaded before the callback runs.
     */
    void start(Runnable ready) {
        List<EndpointRecord> configured =
                site.membership().configuredNodes().stream().map(NbdEngine::toRecord).toList();
        boolean listKnown = endpointList.start(configured, () -> preloadHolders(ready));
        if (listKnown) {
            ready.run();
        }
        accounting.start(loop);
    }

    private void preloadHolders(Runnable onCompleted) {
        new HolderPreloader(directory, locator, exportedVolumes.values(), onCompleted).run();
    }

    private static EndpointRecord toRecord(MembershipSettings.ConfiguredNode node) {
        return new EndpointRecord(
                node.node(),
                node.cell(),
                node.zone(),
                0,
                EndpointRecord.Phase.READY,
                0,
                1,
                node.address().host(),
                node.address().port());
    }

    /**
     * Begins the graceful shutdown: refuses new requests, and runs the callback once every request
     * in flight has its reply. Writes are durable before their replies from then on, because the
     * next incarnation may already have flushed what it knows of. May be called from any thread.
     */
    void stop(Runnable whenEmpty) {
        loop.execute(() -> requests.stop(whenEmpty));
    }

    /** Closes all connections and timers. Called on the event loop. */
    void close() {
        flushPlanner.close();
        accounting.close();
        endpointList.close();
        dispatcher.close();
        connections.close();
        directory.close();
    }

    // ---- requests ----

    /** Starts a validated request. Called on the client's event loop. */
    void submit(NbdSession session, NbdRequest command, ExportedVolume volume) {
        if (loop.inEventLoop()) {
            begin(session, command, volume);
        } else {
            loop.execute(() -> begin(session, command, volume));
        }
    }

    private void begin(NbdSession session, NbdRequest command, ExportedVolume volume) {
        PendingRequest request = new PendingRequest(session, command, volume, clock.now());
        if (requests.isStopping()) {
            command.payload().release();
            request.addError(
                    -1,
                    NbdConstants.ESHUTDOWN,
                    "the gateway is shutting down; the request was not executed");
            session.sendReply(request);
            return;
        }
        requests.add(request);
        switch (command.command()) {
            case NbdConstants.CMD_BLOCK_STATUS -> lookUpBlockStatus(request);
            case NbdConstants.CMD_FLUSH -> flushPlanner.plan(request);
            default -> {
                splitter.begin(request);
                if (request.hasEnded()) {
                    requests.complete(request);
                } else {
                    sessionQueues.add(request);
                }
            }
        }
    }

    private void dispatchFlush(PendingRequest request) {
        if (requests.contains(request)) {
            splitter.splitFlush(request);
            dispatchFlushParts(request);
        }
    }

    /**
     * Flushes the volume of a served write in the graceful shutdown. Returns whether the request
     * has to wait for that.
     */
    private boolean flushBeforeReply(PendingRequest request) {
        if (!requests.isStopping() || !request.leavesUnflushedWrites()) {
            return false;
        }
        request.flushedBeforeReply = true;
        splitter.splitFlush(request);
        if (request.openParts.isEmpty()) {
            return false; // another flush has covered the write since
        }
        dispatchFlushParts(request);
        return true;
    }

    /** Passes the cells of all nodes, and of known extents of the volume, to the consumer. */
    private void forEachKnownCell(ExportedVolume volume, IntConsumer consumer) {
        connections.forEachCell(consumer);
        locator.forEachHolder(volume, consumer);
    }

    private void dispatchFlushParts(PendingRequest request) {
        if (request.openParts.isEmpty()) {
            requests.complete(request);
        }
        for (RequestPart part : List.copyOf(request.openParts)) {
            dispatchPart(part);
        }
        dispatcher.scheduleTurn();
    }

    private void dispatchPart(RequestPart part) {
        counters.accepted.increment();
        accounting.partStarted(part);
        dispatcher.dispatch(part);
    }

    /**
     * Looks up the holders at the directory, because the cache may miss extents that other gateways
     * have allocated.
     */
    private void lookUpBlockStatus(PendingRequest request) {
        BlockStatusRequest blockStatus =
                BlockStatusRequest.of(
                        request, site.extentBytes(), ExtentLocator.MAX_EXTENTS_PER_STEP);
        directory.lookup(
                request.volume.settings.id(),
                blockStatus.firstExtent(),
                blockStatus.extentCount(),
                (cells, failure) -> {
                    if (!requests.contains(request)) {
                        return;
                    }
                    if (cells == null) {
                        request.addError(
                                -1, NbdConstants.EIO, "directory lookup failed: " + failure);
                    } else {
                        request.blockDescriptors = blockStatus.descriptors(cells);
                    }
                    requests.complete(request);
                });
    }

    /**
     * Cancels the requests of a client whose connection has closed. Called on the client's event
     * loop.
     */
    void sessionClosed(NbdSession session) {
        loop.execute(
                () -> {
                    Set<PendingRequest> cancelled = requests.removeAll(session);
                    for (PendingRequest request : cancelled) {
                        cancel(request);
                    }
                    if (!cancelled.isEmpty()) {
                        dispatcher.scheduleTurn();
                    }
                    requests.notifyIfEmpty();
                });
    }

    private void cancel(PendingRequest request) {
        sessionQueues.remove(request);
        request.dropUnsplit();
        for (RequestPart part : List.copyOf(request.openParts)) {
            if (!part.operation.ended) {
                dispatcher.cancel(part);
            }
        }
        request.release();
        request.session.sendReply(request);
    }

    // ---- directory events ----

    @Override
    public void endpointListReceived(DirectoryMessages.EndpointList list) {
        locator.directoryAnswered();
        endpointList.listReceived(list);
    }

    @Override
    public void endpointListFailed(String why) {
        locator.directoryCallFailed();
        endpointList.listFailed(why);
    }

    // ---- node events ----

    @Override
    public void answered(long attemptId, StoreMessages.Answer answer, ByteBuf payload) {
        dispatcher.answered(attemptId, answer, payload);
    }

    @Override
    public void failed(long attemptId, NodeConnection.ConnectionFailure failure) {
        dispatcher.failed(attemptId, failure);
    }

    @Override
    public boolean mayStart(long attemptId) {
        return dispatcher.mayStart(attemptId);
    }

    @Override
    public void answeredAfterCancel(int nodeId, StoreMessages.Answer answer) {
        accounting.answeredAfterCancel(nodeId, answer);
    }

    @Override
    public void healthReported(Node node, float[] loadReport) {
        double[] report = AttemptMessages.loadReport(loadReport);
        scheduler.onHealthCheck(node, Outcome.SERVED, 0, report, clock.now());
        dispatcher.scheduleTurn();
    }

    @Override
    public boolean handshakeCompleted(Node node, StoreMessages.HandshakeReply reply) {
        return endpointList.handshakeCompleted(node, reply);
    }

    @Override
    public void draining(int nodeId) {
        endpointList.draining(nodeId);
    }

    @Override
    public void disconnected(int nodeId) {
        endpointList.disconnected(nodeId);
    }

    // ---- views and snapshots, from any thread ----

    /** Returns the counters since the start. */
    Counters counters() {
        return counters;
    }

    /**
     * Returns the exported volume of that name, or null. The set of volumes is fixed at the start.
     */
    ExportedVolume exportedVolume(String name) {
        return exportedVolumes.get(name);
    }

    /** Returns all exported volumes by name, in the order of the site file. */
    Map<String, ExportedVolume> exportedVolumes() {
        return exportedVolumes;
    }

    /** Returns the source of reports and copies of the accounts. */
    AccountReports accountReports() {
        return accountReports;
    }

    /** Returns the source of snapshots of the extent holders. */
    HolderSnapshots holderSnapshots() {
        return holderSnapshots;
    }

    /** Returns the endpoint list to store, or null if no write is due. */
    CompletableFuture<StoredEndpointList> endpointListSnapshot() {
        return endpointList.snapshot();
    }

    /** Returns the current view of the nodes. */
    CompletableFuture<NodesView> nodesView() {
        CompletableFuture<NodesView> view = new CompletableFuture<>();
        loop.execute(
                () ->
                        view.complete(
                                endpointList.view(
                                        site.name(),
                                        locator.isDirectoryReachable(),
                                        locator.unverifiedCount())));
        return view;
    }
}
