package sagepulley.frontend.nbd;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import sagepulley.accounts.Accounts;
import sagepulley.accounts.LatencyAccount;
import sagepulley.codec.frame.EventLoopTimer;
import sagepulley.codec.nbd.Export;
import sagepulley.codec.nbd.NbdConstants;
import sagepulley.codec.nbd.NbdRequest;
import sagepulley.codec.nbd.NbdServer;
import sagepulley.config.MembershipSettings;
import sagepulley.config.SiteConfig;
import sagepulley.config.VolumeSettings;
import sagepulley.discovery.directory.DirectoryClient;
import sagepulley.discovery.directory.DirectoryMessages;
import sagepulley.engine.Clock;
import sagepulley.membership.EndpointRecord;
import sagepulley.membership.Membership;
import sagepulley.membership.StoredEndpointList;
import sagepulley.model.Attempt;
import sagepulley.model.FollowUp;
import sagepulley.model.Node;
import sagepulley.model.Operation;
import sagepulley.model.Outcome;
import sagepulley.model.Reason;
import sagepulley.model.RoutingDecision;
import sagepulley.model.SchedulerTurn;
import sagepulley.model.Volume;
import sagepulley.scheduler.Scheduler;
import sagepulley.tracing.TailSampler;
import sagepulley.tracing.Tracer;
import sagepulley.upstream.frame.NodeConnection;
import sagepulley.upstream.frame.StoreMessages;

/**
 * Hosts Scheduler in service: tells it what happens and carries out what it answers. Everything
 * here but the methods said otherwise runs on one loop, which also owns the links to nodes and
 * directory.
 */
final class NbdEngine
        implements DirectoryClient.Listener,
                NodeConnectionRegistry.Listener,
                ExtentLocator.Listener {
    private static final int LEAST_BLOCK = 512;
    private static final int PREFERRED_BLOCK = 4096;

    private static final double NS = 1e6;

    private final SiteConfig site;
    private final EventLoop loop;
    private final Clock clock;
    private final Scheduler scheduler;
    private final RequestSplitter splitter;
    private final DirectoryClient directory;
    private final Counters counters = new Counters();
    private final Map<String, ExportedVolume> exportedVolumes = new LinkedHashMap<>();
    private final NodeConnectionRegistry connections;

    /** Parts whose attempt is out, by the attempt's number on the wire. */
    private final Map<Long, RequestPart> out = new HashMap<>();

    private final PendingRequests requests = new PendingRequests();

    private final OperationAccounting accounting;
    private final AccountReports accountReports;
    private final ExtentLocator locator;
    private final HolderSnapshots holderSnapshots;

    private final EndpointListFollower endpointList;

    private long attemptIds;
    private boolean settleDue;
    private final EventLoopTimer alarm;

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
        this.alarm = new EventLoopTimer(loop, clock::now, this::settleNow);
        this.clock = clock;
        this.scheduler = scheduler;
        SplittableRandom random = new SplittableRandom(seed);
        SplittableRandom backoffRandom = random.split();
        TailSampler sampler =
                new TailSampler(site.traces().perSecond(), site.traces().chance(), random.split());
        this.splitter = new RequestSplitter(site);
        this.connections =
                new NodeConnectionRegistry(
                        loop,
                        channelType,
                        site.extentBytes(),
                        new StoreMessages.Hello(seed, site.name()),
                        clock,
                        this);
        this.accounting =
                new OperationAccounting(
                        site,
                        clock,
                        scheduler,
                        connections,
                        new OperationTracing(site.name(), clock, sampler, tracer));
        this.directory =
                new DirectoryClient(
                        loop, channelType, site.directory().socket(), seed, site.name(), this);
        this.locator = new ExtentLocator(directory, scheduler, clock, site.extentBytes(), this);
        this.holderSnapshots = new HolderSnapshots(loop, locator, exportedVolumes.values());
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
                        this::settle,
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
        for (VolumeSettings line : site.volumes()) {
            Volume volume = new Volume(line.id(), site.deployment().plans().get(line.plan()));
            volume.gatewayCount = line.gateways();
            // A flush reaches every write acknowledged by this gateway, whatever connection it came
            // by.
            exportedVolumes.put(
                    line.name(),
                    new ExportedVolume(
                            line,
                            volume,
                            new Export(
                                    line.name(),
                                    line.description(),
                                    line.size(),
                                    line.readOnly(),
                                    true,
                                    LEAST_BLOCK,
                                    PREFERRED_BLOCK,
                                    site.mostRequest())));
        }
    }

    /** The holders of extents, for the disk. From any thread. */
    HolderSnapshots holderSnapshots() {
        return holderSnapshots;
    }

    /** The accounts, for operators and the disk. From any thread. */
    AccountReports accountReports() {
        return accountReports;
    }

    /**
     * What an earlier incarnation stored. On the loop, before the start.
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

    /** Runs the callback once an endpoint list is known; without one, holders are loaded first. */
    void start(Runnable ready) {
        List<EndpointRecord> configured =
                site.members().nodes().stream().map(NbdEngine::toRecord).toList();
        boolean listKnown =
                endpointList.start(
                        configured,
                        () -> locator.preload(new ArrayList<>(exportedVolumes.values()), ready));
        if (listKnown) {
            ready.run();
        }
        accounting.start(loop);
    }

    private static EndpointRecord toRecord(MembershipSettings.FixedNode node) {
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

    @Override
    public void endpointListReceived(DirectoryMessages.EndpointList list) {
        locator.directoryAnswered();
        endpointList.received(list);
    }

    @Override
    public void endpointListFailed(String why) {
        locator.directoryFailed();
        endpointList.failed(why);
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

    /** The endpoint list as it goes to disk; null if nothing is new. */
    CompletableFuture<StoredEndpointList> endpointListSnapshot() {
        return endpointList.snapshot();
    }

    /** The nodes as they are seen, for operators. */
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

    /** Goes on with the accounts of an earlier incarnation. On the loop. */
    void restoreAccounts(LatencyAccount book) {
        accounting.accounts().goOn(book, clock.now());
    }

    /** From any thread. */
    Counters counters() {
        return counters;
    }

    /** From any thread: the volumes do not change in service. */
    ExportedVolume exportedVolume(String name) {
        return exportedVolumes.get(name);
    }

    Map<String, ExportedVolume> exportedVolumes() {
        return exportedVolumes;
    }

    /** On the client's loop. */
    boolean waitsForRest(Channel client) {
        return NbdServer.isInsideMessage(client.pipeline());
    }

    // ---- requests ----

    /** Takes a request that was found to be well-formed. From the client's loop. */
    void submit(NbdSession session, NbdRequest asked, ExportedVolume volume) {
        if (loop.inEventLoop()) {
            taken(session, asked, volume);
        } else {
            loop.execute(() -> taken(session, asked, volume));
        }
    }

    private void taken(NbdSession session, NbdRequest asked, ExportedVolume volume) {
        PendingRequest request = new PendingRequest(session, asked, volume, clock.now());
        if (requests.isStopping()) {
            asked.payload().release();
            request.fail(-1, NbdConstants.ESHUTDOWN, "the gateway is stopping; nothing was done");
            session.answer(request);
            return;
        }
        requests.add(request);
        switch (asked.command()) {
            case NbdConstants.CMD_FLUSH -> flush(request);
            case NbdConstants.CMD_BLOCK_STATUS -> {
                blockStatus(request);
                return;
            }
            default -> {
                splitter.split(request);
                asked.payload().release();
            }
        }
        request.openParts = request.parts.size();
        counters.accepted.add(request.openParts);
        if (request.openParts == 0) {
            requests.complete(request);
        }
        for (RequestPart part : request.parts) {
            accounting.begin(part);
        }
        for (RequestPart part : List.copyOf(request.parts)) {
            if (part.kind == StoreMessages.Kind.FLUSH) {
                show(part);
            } else {
                locator.locate(part);
            }
        }
        settle();
    }

    private void flush(PendingRequest request) {
        request.volume.unflushedByCell.forEach(
                (cell, at) -> {
                    RequestPart part = splitter.newFlushPart(request, cell);
                    part.writesBeforeFlush = at.writeCount;
                    part.expectedNodeStart = at.nodeStartedAt;
                    request.parts.add(part);
                });
    }

    /** The client's connection has ended: nothing is owed to it. From the client's loop. */
    void sessionClosed(NbdSession session) {
        loop.execute(
                () -> {
                    Set<PendingRequest> cancelled = requests.removeAll(session);
                    for (PendingRequest request : cancelled) {
                        cancel(request);
                    }
                    if (!cancelled.isEmpty()) {
                        settle();
                    }
                    requests.notifyIfEmpty();
                });
    }

    private void cancel(PendingRequest request) {
        for (RequestPart part : List.copyOf(request.parts)) {
            if (!part.operation.ended) {
                leave(part);
            }
        }
        request.release();
        request.session.answer(request);
    }

    /**
     * Extents without a holder are holes; the directory alone knows, for another gateway may have
     * written.
     */
    private void blockStatus(PendingRequest request) {
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
                        request.fail(
                                -1, NbdConstants.EIO, "the directory did not answer: " + failure);
                    } else {
                        request.blockDescriptors = blockStatus.descriptors(cells);
                    }
                    requests.complete(request);
                });
    }

    private void leave(RequestPart part) {
        part.operation.ended = true;
        counters.cancelled.increment();
        locator.forget(part);
        if (part.submitted) {
            scheduler.onClientCancelled(part.operation, clock.now());
        }
        accounting.ended(part, Accounts.End.LEFT, Reason.NONE);
        accounting.stopsWaiting(part);
        part.payload.release();
    }

    // ---- Scheduler's answers ----

    private void claim(RequestPart part, Attempt attempt) {
        locator.claim(
                part,
                attempt,
                cell -> {
                    if (attempt.outcome != null) {
                        settle();
                    } else if (cell != null && cell == attempt.node.cell) {
                        hand(part, attempt);
                    } else {
                        // Another node holds it, or nobody can say: the attempt never went out.
                        out.remove(part.attemptId);
                        ended(part, Outcome.NOT_EXECUTED);
                    }
                });
    }

    @Override
    public void located(RequestPart part) {
        show(part);
    }

    @Override
    public void unallocated(RequestPart part) {
        if (part.submitted) {
            part.operation.ended = true;
            scheduler.onEndedWithoutNode(part.operation);
        }
        counters.holes.increment();
        if (part.kind == StoreMessages.Kind.READ) {
            part.request.readChunks.add(
                    new PendingRequest.ReadChunk(part.exportOffset, part.length, null));
        }
        satisfied(part);
    }

    @Override
    public void waitsForDirectory(RequestPart part, double now) {
        accounting.waitsForDirectory(part, now);
    }

    @Override
    public void schedulerChanged() {
        settle();
    }

    private void show(RequestPart part) {
        part.submitted = true;
        carryOut(part, scheduler.route(part.operation, clock.now()));
    }

    private void carryOut(RequestPart part, RoutingDecision decision) {
        Operation operation = part.operation;
        if (decision.kind() == RoutingDecision.Kind.WAIT) {
            if (!operation.ended) {
                accounting.waitsAtScheduler(part);
            }
            return;
        }
        accounting.stopsWaiting(part);
        switch (decision.kind()) {
            case SEND -> {
                Attempt attempt = operation.attempts.get(operation.attempts.size() - 1);
                part.attemptId = ++attemptIds;
                part.handedToConnection = false;
                out.put(part.attemptId, part);
                long number = part.attemptId;
                part.timeout =
                        loop.schedule(
                                () -> timedOut(number),
                                Math.max(1, (long) (decision.timeout() * NS)),
                                TimeUnit.NANOSECONDS);
                if (operation.shard < 0) {
                    accounting.claims(part, attempt);
                    claim(part, attempt);
                } else {
                    hand(part, attempt);
                }
            }
            case REJECT -> {
                counters.rejected.increment();
                String when =
                        decision.retryAfter() > 0
                                ? "; come back in "
                                        + (long) Math.ceil(decision.retryAfter())
                                        + " ms"
                                : "";
                finish(
                        part,
                        Accounts.End.DECLINED,
                        decision.reason(),
                        NbdConstants.ENOMEM,
                        "declined ("
                                + OperationTracing.words(decision.reason())
                                + "): asking again does no harm"
                                + when);
            }
            case ABANDON -> {
                counters.abandoned.increment();
                finish(
                        part,
                        Accounts.End.SCRAPPED,
                        decision.reason(),
                        NbdConstants.EIO,
                        "scrapped: it may have taken effect or not");
            }
            case WAIT -> throw new IllegalStateException("seen above");
        }
    }

    private void hand(RequestPart part, Attempt attempt) {
        part.handedToConnection = true;
        accounting.sent(part, attempt);
        NodeConnection connection = connections.connection(attempt.node.id);
        counters.attempts.increment();
        boolean durable = (part.request.command.flags() & NbdConstants.CMD_FLAG_FUA) != 0;
        StoreMessages.Send send =
                new StoreMessages.Send(
                        part.kind,
                        part.operation.trafficClass.index(),
                        durable,
                        part.operation.trafficClass.idempotency().ordinal(),
                        part.operation.id,
                        attempt.number,
                        part.request.volume.settings.id(),
                        part.extent,
                        part.offsetInExtent,
                        part.length,
                        (float) part.operation.units,
                        part.expectedNodeStart,
                        part.kind != StoreMessages.Kind.FLUSH && locator.isUnverified(part));
        connection.send(part.attemptId, send, part.payload.retainedDuplicate());
    }

    // ---- what nodes say ----

    @Override
    public void answeredAfterCancel(int nodeId, StoreMessages.Answer answer) {
        accounting.answeredAfterCancel(nodeId, answer);
    }

    @Override
    public void healthReported(Node node, float[] loadReport) {
        scheduler.onHealthCheck(node, Outcome.SERVED, 0, widened(loadReport), clock.now());
        settle();
    }

    // ---- ends of attempts ----

    @Override
    public void failed(long attemptId, NodeConnection.ConnectionFailure failure) {
        RequestPart part = out.remove(attemptId);
        if (part != null) {
            ended(
                    part,
                    failure == NodeConnection.ConnectionFailure.RESET
                            ? Outcome.RESET
                            : Outcome.NO_CONNECTION);
        }
    }

    @Override
    public void answered(long attemptId, StoreMessages.Answer answer, ByteBuf payload) {
        RequestPart part = out.remove(attemptId);
        if (part == null) {
            payload.release();
            return;
        }
        Outcome outcome =
                switch (answer.code()) {
                    case SERVED -> Outcome.SERVED;
                    case FAILED -> Outcome.FAILED;
                    case FULL, DRAINING -> Outcome.REJECTED;
                    // Whose pen was taken by another gateway never ran, and the node is not to
                    // blame.
                    case NOT_EXECUTED, STALE_WRITE_TOKEN -> Outcome.NOT_EXECUTED;
                    case CANCELLED -> Outcome.CANCELLED;
                };
        Attempt attempt = lastAttempt(part);
        attempt.planUsagePercent = answer.planUsage() == 0 ? Double.NaN : answer.planUsage() - 1;
        attempt.otherGatewaysUnits = answer.otherGatewaysUnits();
        attempt.report = widened(answer.loadReport());
        boolean denied = answer.code() == StoreMessages.Code.NOT_EXECUTED && locator.denied(part);
        if (answer.code() == StoreMessages.Code.SERVED) {
            locator.verified(part);
            accounting.served(part, answer);
        }
        int due = part.kind == StoreMessages.Kind.READ ? part.length : 0;
        if (outcome == Outcome.SERVED && payload.readableBytes() != due) {
            outcome = Outcome.FAILED;
        }
        if (outcome == Outcome.SERVED && !part.operation.ended && due > 0) {
            part.request.readChunks.add(
                    new PendingRequest.ReadChunk(part.exportOffset, part.length, payload));
        } else {
            payload.release();
        }
        ended(part, outcome);
        if (denied) {
            locator.locateAfterDenial(part);
        }
    }

    private void timedOut(long attemptId) {
        RequestPart part = out.remove(attemptId);
        if (part == null) {
            return;
        }
        if (!part.handedToConnection) {
            ended(part, Outcome.NOT_EXECUTED);
            return;
        }
        boolean went = connections.connection(lastAttempt(part).node.id).cancel(attemptId);
        ended(part, went ? Outcome.TIMED_OUT : Outcome.NO_CONNECTION);
    }

    private static Attempt lastAttempt(RequestPart part) {
        return part.operation.attempts.get(part.operation.attempts.size() - 1);
    }

    private void ended(RequestPart part, Outcome outcome) {
        double now = clock.now();
        Operation operation = part.operation;
        Attempt attempt = lastAttempt(part);
        attempt.outcome = outcome;
        attempt.duration = now - attempt.sentAt;
        part.attemptId = 0;
        if (part.timeout != null) {
            part.timeout.cancel(false);
            part.timeout = null;
        }
        part.handedToConnection = false;
        if (outcome != Outcome.SERVED) {
            accounting.attemptFailed(part, outcome, now);
        }
        boolean first = !operation.ended && outcome == Outcome.SERVED;
        operation.ended |= first;
        if (outcome == Outcome.NOT_EXECUTED) {
            counters.notExecuted.increment();
        }
        FollowUp sequel = scheduler.onAttemptEnded(attempt, now);
        if (first) {
            note(part, attempt);
            satisfied(part);
        } else if (sequel == FollowUp.ROUTE_AGAIN) {
            carryOut(part, scheduler.route(operation, now));
        }
        settle();
    }

    /** What an acknowledged write or flush means for the next flush. */
    private void note(RequestPart part, Attempt attempt) {
        ExportedVolume volume = part.request.volume;
        if (part.kind == StoreMessages.Kind.FLUSH) {
            volume.recordFlush(attempt.node.cell, part.writesBeforeFlush);
        } else if (part.kind.modifiesData()
                && (part.request.command.flags() & NbdConstants.CMD_FLAG_FUA) == 0) {
            volume.recordWrite(attempt.node.cell, connections.startedAt(attempt.node.id));
        }
    }

    private void satisfied(RequestPart part) {
        part.operation.ended = true;
        counters.served.increment();
        accounting.ended(part, Accounts.End.SATISFIED, Reason.NONE);
        over(part);
    }

    private void finish(RequestPart part, Accounts.End how, Reason reason, int error, String why) {
        part.operation.ended = true;
        accounting.ended(part, how, reason);
        part.request.fail(part.exportOffset, error, why);
        over(part);
    }

    private void over(RequestPart part) {
        accounting.stopsWaiting(part);
        locator.forget(part);
        part.payload.release();
        if (--part.request.openParts == 0) {
            requests.complete(part.request);
        }
    }

    // ---- what is due ----

    /** Asks Scheduler what is due, once for all that one turn of the loop brought. */
    private void settle() {
        if (!settleDue) {
            settleDue = true;
            loop.execute(this::settleNow);
        }
    }

    private void settleNow() {
        settleDue = false;
        double now = clock.now();
        locator.releaseOverdue(now);
        SchedulerTurn turn = scheduler.nextTurn(now);
        while (true) {
            for (Attempt attempt : turn.cancellations()) {
                callOff(attempt);
            }
            for (Node node : turn.healthChecks()) {
                connections.connection(node.id).checkHealth(++attemptIds);
            }
            switch (turn.poll()) {
                case SUBSCRIBE -> directory.subscribe();
                case FETCH -> directory.fetch();
                case NONE -> {}
            }
            boolean moved = false;
            for (Operation operation : turn.due()) {
                RoutingDecision decision = scheduler.route(operation, now);
                moved |= decision.kind() != RoutingDecision.Kind.WAIT;
                carryOut(partOf(operation), decision);
            }
            if (!moved) {
                break; // asking again at the same moment would change nothing
            }
            turn = scheduler.nextTurn(now);
        }
        alarm.by(Math.min(now + turn.delay(), locator.nextOverdue()));
    }

    private static RequestPart partOf(Operation operation) {
        return (RequestPart) operation.engineState;
    }

    /** Work for nobody is given up; whether it ran, nobody will know. */
    private void callOff(Attempt attempt) {
        RequestPart part = partOf(attempt.operation);
        if (attempt.outcome != null || part.attemptId == 0) {
            return;
        }
        out.remove(part.attemptId);
        if (part.handedToConnection) {
            connections.connection(attempt.node.id).cancel(part.attemptId);
        }
        ended(part, Outcome.CANCELLED);
    }

    // ---- the directory ----

    // ---- the end ----

    /** Takes nothing more, and runs the callback once all that is in hand has its final answer. */
    void stop(Runnable whenEmpty) {
        loop.execute(() -> requests.stop(whenEmpty));
    }

    /** Ends all links. On the loop, once nothing is in hand or wanted. */
    void close() {
        accounting.close();
        endpointList.close();
        alarm.cancel();
        connections.close();
        directory.close();
    }

    private static double[] widened(float[] values) {
        if (values.length == 0) {
            return null;
        }
        double[] wide = new double[values.length];
        for (int i = 0; i < values.length; i++) {
            wide[i] = values[i];
        }
        return wide;
    }
}
