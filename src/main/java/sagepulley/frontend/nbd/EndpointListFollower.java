package sagepulley.frontend.nbd;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sagepulley.discovery.directory.DirectoryClient;
import sagepulley.discovery.directory.DirectoryMessages;
import sagepulley.engine.Clock;
import sagepulley.membership.EndpointListUpdate;
import sagepulley.membership.EndpointRecord;
import sagepulley.membership.Membership;
import sagepulley.membership.ReconnectBackoff;
import sagepulley.membership.StoredEndpointList;
import sagepulley.model.Node;
import sagepulley.scheduler.Scheduler;
import sagepulley.upstream.frame.StoreMessages;

/**
 * Applies endpoint lists and node handshakes to the membership, and publishes the resulting view of
 * the nodes to the scheduler, the connections and the accounts. Owns the membership; confined to
 * the engine's event loop, except for {@link #snapshot}.
 */
final class EndpointListFollower {
    private static final double MIN_FETCH_BACKOFF_MILLIS = 100;
    private static final double MAX_FETCH_BACKOFF_MILLIS = 5_000;
    private static final long MEMBERSHIP_CHECK_INTERVAL_MILLIS = 50;

    /**
     * Interval at which a subscription without changes is confirmed, so that the list stays fresh.
     */
    private static final double CONFIRMATION_INTERVAL_MILLIS = 30_000;

    private static final double MAX_SNAPSHOT_AGE_MILLIS = 30_000;
    private static final int MAX_LIST_VERSIONS = 64;
    private static final Logger LOG = LoggerFactory.getLogger(EndpointListFollower.class);

    private final EventLoop loop;
    private final Clock clock;
    private final Membership membership;
    private final DirectoryClient directory;
    private final Scheduler scheduler;
    private final NodeConnectionRegistry connections;
    private final OperationAccounting accounting;
    private final Collection<ExportedVolume> volumes;
    private final Runnable schedulerChanged;
    private final BooleanSupplier stopping;
    private final ReconnectBackoff fetchBackoff;
    private Runnable firstListReceived;

    /**
     * Arrival times of the latest list versions, in wall-clock milliseconds. They serve to align
     * the accounts of several gateways.
     */
    private final Map<Long, Double> listVersions = new LinkedHashMap<>();

    private ScheduledFuture<?> membershipChecks;

    /** Whether a list is known, from the directory, the settings or disk. */
    private boolean listKnown;

    private double confirmAt = Double.NEGATIVE_INFINITY;
    private boolean changedSinceSnapshot;
    private double snapshotAt = Double.NEGATIVE_INFINITY;

    EndpointListFollower(
            EventLoop loop,
            Clock clock,
            Membership membership,
            DirectoryClient directory,
            Scheduler scheduler,
            NodeConnectionRegistry connections,
            OperationAccounting accounting,
            Collection<ExportedVolume> volumes,
            Runnable schedulerChanged,
            BooleanSupplier stopping,
            RandomGenerator random) {
        this.loop = loop;
        this.clock = clock;
        this.membership = membership;
        this.directory = directory;
        this.scheduler = scheduler;
        this.connections = connections;
        this.accounting = accounting;
        this.volumes = volumes;
        this.schedulerChanged = schedulerChanged;
        this.stopping = stopping;
        this.fetchBackoff =
                new ReconnectBackoff(MIN_FETCH_BACKOFF_MILLIS, MAX_FETCH_BACKOFF_MILLIS, random);
    }

    /** Restores the list that an earlier incarnation stored. Called before the start. */
    void restore(StoredEndpointList stored) {
        membership.restore(stored, wallMillis());
    }

    /**
     * Starts the periodic membership checks. If no list is known, fetches one and runs the callback
     * after the first list is accepted.
     *
     * @return whether a list is already known, from the settings or from disk
     */
    boolean start(List<EndpointRecord> configured, Runnable firstListReceived) {
        this.firstListReceived = firstListReceived;
        membership.addConfigured(configured);
        membershipChecks =
                loop.scheduleAtFixedRate(
                        this::checkMembership,
                        MEMBERSHIP_CHECK_INTERVAL_MILLIS,
                        MEMBERSHIP_CHECK_INTERVAL_MILLIS,
                        TimeUnit.MILLISECONDS);
        if (membership.isEmpty()) {
            directory.fetch();
            return false;
        }
        // The known list is used until the scheduler's first poll brings a newer one.
        LOG.atInfo()
                .addKeyValue("freshness", membership.freshness(wallMillis()))
                .addKeyValue("age", membership.age(wallMillis()))
                .log("starting with known endpoint list");
        listKnown = true;
        publish();
        return true;
    }

    /** Stops the membership checks. */
    void close() {
        if (membershipChecks != null) {
            membershipChecks.cancel(false);
        }
    }

    // ---- the directory ----

    /** Applies an endpoint list from the directory, pushed or requested. */
    void listReceived(DirectoryMessages.EndpointList list) {
        Membership.UpdateResult result = membership.applyUpdate(toUpdate(list), wallMillis());
        LOG.atInfo()
                .addKeyValue("version", list.version())
                .addKeyValue("complete", list.complete())
                .addKeyValue("endpoints", list.lines().size())
                .addKeyValue("accepted", result.accepted())
                .addKeyValue("why", result.reason())
                .log("endpoint list received");
        if (result.accepted() || result.changed()) {
            publish();
        }
        if (!result.accepted()) {
            if (list.call() != 0) {
                pollFailed();
            }
            return;
        }
        listAccepted(list.version());
    }

    private void listAccepted(long version) {
        fetchBackoff.reset();
        confirmAt = wallMillis() + CONFIRMATION_INTERVAL_MILLIS;
        listVersions.put(version, wallMillis());
        if (listVersions.size() > MAX_LIST_VERSIONS) {
            listVersions.remove(listVersions.keySet().iterator().next());
        }
        if (!listKnown) {
            listKnown = true;
            firstListReceived.run();
        }
        schedulerChanged.run();
    }

    /** Handles the loss of the subscription, or a failed request for the list. */
    void listFailed(String why) {
        LOG.atWarn().addKeyValue("why", why).log("endpoint list poll failed");
        pollFailed();
    }

    private void pollFailed() {
        if (listKnown) {
            scheduler.onPollFailed(clock.now());
            schedulerChanged.run();
        } else if (!stopping.getAsBoolean()) {
            loop.schedule(
                    directory::fetch, (long) fetchBackoff.nextDelayMillis(), TimeUnit.MILLISECONDS);
        }
    }

    private static EndpointListUpdate toUpdate(DirectoryMessages.EndpointList list) {
        return new EndpointListUpdate(
                list.site(),
                list.history(),
                list.version(),
                list.complete(),
                list.lines().stream().map(EndpointListFollower::toRecord).toList());
    }

    private static EndpointRecord toRecord(DirectoryMessages.EndpointLine endpoint) {
        return new EndpointRecord(
                endpoint.node(),
                endpoint.cell(),
                endpoint.zone(),
                endpoint.kind(),
                switch (endpoint.phase()) {
                    case READY -> EndpointRecord.Phase.READY;
                    case DRAINING -> EndpointRecord.Phase.DRAINING;
                    case GONE -> EndpointRecord.Phase.REMOVED;
                },
                endpoint.startedAt(),
                endpoint.weight(),
                endpoint.host(),
                endpoint.port());
    }

    // ---- node events ----

    /**
     * Applies a node's handshake reply. Returns whether the attempts that wait for the connection
     * may be sent to the node.
     */
    boolean handshakeCompleted(Node node, StoreMessages.HandshakeReply reply) {
        Membership.HandshakeVerdict verdict =
                membership.handshakeCompleted(
                        node.id,
                        reply.node(),
                        reply.cell(),
                        reply.draining(),
                        reply.startedAt(),
                        wallMillis());
        LOG.atInfo()
                .addKeyValue("node", node.id)
                .addKeyValue("started", reply.startedAt())
                .addKeyValue("verdict", verdict)
                .log("node connected");
        if (verdict != Membership.HandshakeVerdict.ACCEPTED
                || !node.acceptsNewObjects
                || node.phase != Node.Phase.READY) {
            publish();
        }
        return verdict == Membership.HandshakeVerdict.ACCEPTED && node.phase == Node.Phase.READY;
    }

    /** Applies a node's announcement of its graceful shutdown. */
    void draining(int nodeId) {
        LOG.atInfo().addKeyValue("node", nodeId).log("node announced its graceful shutdown");
        membership.drainAnnounced(nodeId);
        publish();
    }

    /** Records that a node's connection has closed or could not be opened. */
    void disconnected(int nodeId) {
        membership.disconnected(nodeId, wallMillis());
    }

    // ---- the view of the nodes ----

    /** Publishes the membership's current view of the nodes. */
    private void publish() {
        List<Node> nodes = new ArrayList<>();
        connections.beginUpdate();
        for (Membership.MemberView member : membership.members(wallMillis())) {
            Node node = connections.update(member);
            nodes.add(node);
            accounting.nodeUpdated(node);
        }
        changedSinceSnapshot = true;
        scheduler.onEndpointList(nodes, clock.now());
        schedulerChanged.run();
    }

    /**
     * Publishes changes that come with time, connects to the nodes that are due for a probe, and
     * confirms the list if that is due.
     */
    private void checkMembership() {
        double wallMillis = wallMillis();
        if (listKnown && membership.advanceTo(wallMillis)) {
            publish();
        }
        for (int nodeId : membership.takeProbes(wallMillis)) {
            connections.connection(nodeId).ensureConnected();
        }
        if (directory.isSubscribed() && wallMillis >= confirmAt && !volumes.isEmpty()) {
            confirmAt = wallMillis + CONFIRMATION_INTERVAL_MILLIS;
            confirmList();
        }
    }

    /**
     * Confirms the list by a lookup. While the subscription is active the directory pushes every
     * change, so any of its answers proves that the list is current.
     */
    private void confirmList() {
        directory.lookup(
                volumes.iterator().next().settings.id(),
                0,
                1,
                (cells, failure) -> {
                    if (cells != null && membership.confirmed(wallMillis())) {
                        publish();
                    }
                });
    }

    private double wallMillis() {
        return clock.toWallClock(clock.now());
    }

    /**
     * Returns the current view of the nodes; the caller supplies the values that are not held here.
     */
    NodesView view(String gatewayName, boolean directoryReachable, int unverifiedExtents) {
        return new NodesView(
                gatewayName,
                membership.freshness(wallMillis()),
                membership.age(wallMillis()),
                directoryReachable,
                unverifiedExtents,
                membership.members(wallMillis()));
    }

    /** Returns the arrival times of the latest list versions, in wall-clock milliseconds. */
    Map<Long, Double> listVersions() {
        return listVersions;
    }

    /** Returns the list to store, or null if no write is due. May be called from any thread. */
    CompletableFuture<StoredEndpointList> snapshot() {
        CompletableFuture<StoredEndpointList> snapshot = new CompletableFuture<>();
        loop.execute(
                () -> {
                    boolean expired = wallMillis() - snapshotAt >= MAX_SNAPSHOT_AGE_MILLIS;
                    boolean due = listKnown && (changedSinceSnapshot || expired);
                    if (due) {
                        changedSinceSnapshot = false;
                        snapshotAt = wallMillis();
                    }
                    snapshot.complete(due ? membership.snapshot() : null);
                });
        return snapshot;
    }
}
