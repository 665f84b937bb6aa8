package sagepulley.frontend.nbd;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import sagepulley.accounts.Accounts;
import sagepulley.accounts.LatencyComponent;
import sagepulley.config.SiteConfig;
import sagepulley.engine.Clock;
import sagepulley.model.Attempt;
import sagepulley.model.Node;
import sagepulley.model.Outcome;
import sagepulley.model.Reason;
import sagepulley.scheduler.Scheduler;
import sagepulley.scheduler.WaitExplainer;
import sagepulley.upstream.frame.StoreMessages;

/**
 * Attributes the time of each operation to latency components and causes. Owns the gateway's
 * accounts; confined to the engine's event loop.
 */
final class OperationAccounting {
    private static final int MAX_WAITS_PER_UPDATE = 256;
    private static final long UPDATE_INTERVAL_MILLIS = 20;

    private final SiteConfig site;
    private final Clock clock;
    private final Scheduler scheduler;
    private final NodeConnectionRegistry connections;
    private final OperationTracing tracing;
    private final Accounts accounts;

    /** Parts that wait at the scheduler, in the order in which their reasons are updated next. */
    private final Set<RequestPart> waiting = new LinkedHashSet<>();

    private ScheduledFuture<?> updates;

    OperationAccounting(
            SiteConfig site,
            Clock clock,
            Scheduler scheduler,
            NodeConnectionRegistry connections,
            OperationTracing tracing) {
        this.site = site;
        this.clock = clock;
        this.scheduler = scheduler;
        this.connections = connections;
        this.tracing = tracing;
        this.accounts =
                new Accounts(
                        site.accounts().enabled() ? Accounts.Bounds.DEFAULT : Accounts.Bounds.NONE,
                        clock.toWallClock(0),
                        site.volumes().stream()
                                .limit(NbdGateway.MAX_VOLUMES_WITH_TOTALS)
                                .map(volume -> (long) volume.id())
                                .collect(Collectors.toSet()));
    }

    /** Starts the periodic update of the wait reasons if accounts are enabled. */
    void start(EventLoop loop) {
        if (site.accounts().enabled()) {
            updates =
                    loop.scheduleAtFixedRate(
                            this::updateWaits,
                            UPDATE_INTERVAL_MILLIS,
                            UPDATE_INTERVAL_MILLIS,
                            TimeUnit.MILLISECONDS);
        }
    }

    /** Stops the periodic update. */
    void close() {
        if (updates != null) {
            updates.cancel(false);
        }
    }

    /** Returns the accounts. */
    Accounts accounts() {
        return accounts;
    }

    /**
     * Records a node's zone and the end of its slow start, from the latest view of the membership.
     */
    void nodeUpdated(Node node) {
        accounts.nodeListed(
                node.id, node.zone, node.startedAt + site.deployment().policy().slowStartTime());
    }

    /** Starts the time accounting of a part. */
    void partStarted(RequestPart part) {
        part.timer =
                accounts.begin(
                        part.request.volume.settings.id(),
                        part.operation.trafficClass,
                        part.kind.modifiesData(),
                        part.operation.units,
                        part.request.arrivedAt);
    }

    /** Records that a part waits for the directory from {@code now} on (engine milliseconds). */
    void directoryWaitStarted(RequestPart part, double now) {
        accounts.waitStarted(part.timer, LatencyComponent.DIRECTORY, 0, now);
    }

    /** Records that a part waits at the scheduler, and the current reason. */
    void schedulerWaitStarted(RequestPart part) {
        waiting.add(part);
        updateWait(part, clock.now());
    }

    /** Records that a part no longer waits at the scheduler. */
    void schedulerWaitEnded(RequestPart part) {
        waiting.remove(part);
    }

    /** Records that an attempt waits for the claim of its extent. */
    void claimStarted(RequestPart part, Attempt attempt) {
        accounts.claimStarted(part.timer, attempt.node.id, clock.now());
    }

    /** Records that an attempt is sent to its node. */
    void attemptSent(RequestPart part, Attempt attempt) {
        accounts.attemptSent(part.timer, attempt.node.id, attempt.quotaTier, clock.now());
    }

    /** Records the times and the load that a node reported with a served attempt. */
    void attemptServed(RequestPart part, StoreMessages.Answer answer) {
        accounts.attemptAnswered(
                part.timer,
                answer.queuedMillis(),
                answer.serviceMillis(),
                answer.loadReport().length == 0 ? Double.NaN : answer.loadReport()[0],
                clock.now());
    }

    /** Records the times that a node reported for an attempt that was already cancelled. */
    void answeredAfterCancel(int nodeId, StoreMessages.Answer answer) {
        accounts.lateAnswerReceived(nodeId, answer.queuedMillis(), answer.serviceMillis());
    }

    /** Records an attempt that ended with an outcome other than SERVED. */
    void attemptFailed(RequestPart part, Outcome outcome, double now) {
        accounts.attemptFailed(part.timer, outcome, now);
    }

    /** Records the final result of a part, and its trace if it is sampled. */
    void partEnded(RequestPart part, Accounts.End end, Reason reason) {
        double now = clock.now();
        accounts.end(part.timer, end, reason, connections.readyNodeOf(part.operation.shard), now);
        tracing.recordIfSampled(part, end, reason, now);
    }

    /**
     * Updates the reasons of up to {@link #MAX_WAITS_PER_UPDATE} waiting parts, in rotation. A
     * reason can change without an event of the operation itself.
     */
    private void updateWaits() {
        double now = clock.now();
        Iterator<RequestPart> next = waiting.iterator();
        List<RequestPart> updated = new ArrayList<>();
        while (next.hasNext() && updated.size() < MAX_WAITS_PER_UPDATE) {
            updated.add(next.next());
            next.remove();
        }
        for (RequestPart part : updated) {
            updateWait(part, now);
            waiting.add(part);
        }
    }

    private void updateWait(RequestPart part, double now) {
        if (part.timer == null) {
            return; // accounts are disabled
        }
        LatencyComponent component =
                LatencyComponent.of(WaitExplainer.reasonFor(scheduler, part.operation, now));
        accounts.waitStarted(
                part.timer, component, connections.readyNodeOf(part.operation.shard), now);
    }
}
