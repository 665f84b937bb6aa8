package sagepulley.scheduler;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import sagepulley.membership.DiscoverySchedule;
import sagepulley.membership.EndpointLease;
import sagepulley.model.Attempt;
import sagepulley.model.Deployment;
import sagepulley.model.FollowUp;
import sagepulley.model.Node;
import sagepulley.model.Operation;
import sagepulley.model.Outcome;
import sagepulley.model.Reason;
import sagepulley.model.RoutingDecision;
import sagepulley.model.SchedulerTurn;
import sagepulley.model.ServicePolicy;
import sagepulley.model.Volume;

/**
 * Decides for one gateway which operation is sent to which endpoint and when, and which operations
 * are rejected or abandoned. It composes the classes of this package and fixes the order of their
 * calls, and with it the order of random draws.
 *
 * <p>The caller owns the operations and the timer, and makes all calls from one thread:
 *
 * <ul>
 *   <li>{@link #onArrival} takes an operation's place in the order of its key, for a caller that
 *       routes it later; every operation that has arrived ends by a decision, the end of an
 *       attempt, {@link #onClientCancelled} or {@link #onEndedWithoutNode}
 *   <li>{@link #route} decides whether an operation is sent now, waits, or is given up (rejected or
 *       abandoned); if it is sent, the attempt has already been added to it
 *   <li>{@link #onAttemptEnded} records the outcome of an attempt and returns what to do for its
 *       operation
 *   <li>{@link #nextTurn} returns what is due now and the delay until the next turn; the caller
 *       routes the due operations and repeats the call until none of them stops waiting
 *   <li>{@link #mayStart} returns whether an attempt that is not written yet may still start
 *   <li>the other methods report events
 * </ul>
 *
 * <p>Times are milliseconds on the caller's monotonic clock.
 */
public final class Scheduler {
    private static final double REFRESH_PERIOD_MILLIS = 1_000;

    private final Deployment deployment;
    private final RandomGenerator random;
    private final WakeUpTime wakeUp = new WakeUpTime();
    private final DiscoverySchedule discovery;
    private final RequestQueues queues;
    private final RequestSelector selector;
    private final SlowStartBudget slowStart;
    private final RetryBudget retryBudget;
    private final ClientRetryTracker clientRetries;

    // Package-private for WaitExplainer and the views.
    final EndpointLease lease;
    final EndpointTable endpoints;
    final DispatchRules rules;
    final LatencyTracker latencies;
    final QuotaTracker quota;
    final KeyOrdering keyOrdering;
    final OutlierDetector outliers;
    final ConcurrencyLimiter concurrency;
    final AdmissionController admission;

    /** Attempts whose client has cancelled; the next turn returns them. */
    private final List<Attempt> pendingCancellations = new ArrayList<>();

    private double nextRefreshAt = Double.NEGATIVE_INFINITY;

    /** Creates a scheduler without endpoints; the seed makes its random draws repeatable. */
    public Scheduler(Deployment deployment, long seed) {
        ServicePolicy policy = deployment.policy();
        this.deployment = deployment;
        this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        this.latencies = new LatencyTracker(deployment.trafficClasses());
        this.quota = new QuotaTracker(deployment, wakeUp);
        this.outliers = new OutlierDetector(policy.slowStartTime(), latencies, wakeUp);
        this.concurrency = new ConcurrencyLimiter(latencies, outliers);
        this.admission = new AdmissionController(deployment, latencies, quota, outliers);
        this.slowStart = new SlowStartBudget(deployment, wakeUp);
        this.keyOrdering = new KeyOrdering(policy.keyIdleTime(), deployment.tick(), wakeUp);
        this.discovery = new DiscoverySchedule(deployment, random);
        this.lease = new EndpointLease(deployment.notifiedWithin(), policy.drainGrace());
        this.endpoints = new EndpointTable(policy, lease, concurrency);
        this.queues = new RequestQueues(endpoints);
        this.retryBudget = new RetryBudget(policy);
        this.rules =
                new DispatchRules(
                        deployment, lease, endpoints, retryBudget, slowStart, keyOrdering, quota);
        this.selector =
                new RequestSelector(
                        endpoints,
                        queues,
                        rules,
                        new RequestPriority(latencies, quota),
                        latencies,
                        outliers,
                        concurrency,
                        admission,
                        slowStart,
                        new Router(deployment));
        this.clientRetries = new ClientRetryTracker(deployment.trafficClasses().size());
    }

    /** Applies a new endpoint list; endpoints that are no longer listed have the phase REMOVED. */
    public void onEndpointList(List<Node> nodes, double now) {
        boolean isFirstList = !endpoints.hasList();
        endpoints.update(nodes, now);
        queues.markChanged();
        if (isFirstList) {
            slowStart.onGatewayStarted(now);
            discovery.started(now);
        } else if (!lease.isBounded()) {
            // With a bounded lease only onListConfirmed counts as a successful poll: a list may
            // also come from a former discovery address, which does not respond to polls of the
            // current one.
            discovery.pollSucceeded();
        }
        queues.onEndpointList();
    }

    /** Records that the endpoint list is known to have been current at a time. */
    public void onListConfirmed(double asOf) {
        lease.confirmed(asOf);
        queues.markChanged();
        discovery.pollSucceeded();
    }

    /** Records that discovery refused connections at a time, so that no gateway could reach it. */
    public void onDiscoveryUnreachable(double at) {
        lease.unreachable(at);
    }

    /** Records that a poll of the endpoint list failed or its watch ended. */
    public void onPollFailed(double now) {
        discovery.pollFailed(now);
    }

    /**
     * Records that a new configuration, which may change the discovery address, was notified at a
     * time.
     */
    public void onReloadNotified(double at) {
        lease.reloadNotified(at);
    }

    /**
     * Records that a configuration whose reading began at a time is known, or known to be unusable.
     */
    public void onConfigurationRead(double readAt) {
        lease.reloadCompleted(readAt);
    }

    /** Records that discovery has a new address, which has not been polled yet. */
    public void onDiscoveryMoved(double now) {
        discovery.addressChanged(now);
    }

    /** Ignores the outcome of a health check, as the scheduler requests none. */
    public void onHealthCheck(
            Node node, Outcome outcome, double durationMillis, double[] report, double now) {}

    /**
     * Removes an operation that its client has cancelled. Its attempts in flight are cancelled at
     * the next turn if the deployment allows cancellation.
     */
    public void onClientCancelled(Operation operation, double now) {
        removeFromQueues(operation);
        clientRetries.onUnserved(operation);
        latencies.onCancelled(operation, now);
        for (Attempt attempt : operation.attempts) {
            if (attempt.outcome == null && deployment.mayCancel()) {
                pendingCancellations.add(attempt);
            }
        }
    }

    /** Discards the state of a volume that has no operation in flight. */
    public void onVolumeForgotten(Volume volume) {
        quota.forget(volume);
    }

    /** Sets the cell of an operation that waits or is in flight; -1 stands for a new object. */
    public void onExtentLocated(Operation operation, int cell) {
        queues.relocate(operation, cell);
    }

    /**
     * Removes an operation that has ended without needing an endpoint; ignores one that has not
     * arrived.
     */
    public void onEndedWithoutNode(Operation operation) {
        if (operation.schedulerState != null) {
            removeFromQueues(operation);
        }
    }

    /**
     * Reserves the places of a request's operations in the order of their keys, one on each key.
     * They arrive later, in ascending order of their keys.
     */
    public KeyReservation reserveKeys(long firstKey, long lastKey) {
        return keyOrdering.reserve(firstKey, lastKey);
    }

    /** Gives up the reserved places of operations that will not arrive. */
    public void releaseKeys(KeyReservation reservation) {
        keyOrdering.release(reservation);
        queues.markChanged();
    }

    /**
     * Records the arrival of an operation, which takes its place in the order of its key. An
     * operation that is routed at once need not be announced.
     *
     * @param reservation the reserved places of the operation's request; null if it has none
     */
    public void onArrival(Operation operation, KeyReservation reservation, double now) {
        recordArrival(operation, reservation, now);
    }

    /**
     * Returns whether an arrived operation may start as far as the order of its key is concerned.
     */
    public boolean isFirstOfKey(Operation operation, double now) {
        return keyOrdering.isFirstOfKey(operation, now);
    }

    /** Reports an arrived operation in a turn once it is the first of its key. */
    public void reportOnceFirstOfKey(Operation operation) {
        keyOrdering.reportOnceFirst(operation);
    }

    /** Decides whether an operation is sent now, waits, or is given up. */
    public RoutingDecision route(Operation operation, double now) {
        QueuedRequest request = requestFor(operation, now);
        if (operation.ended) {
            removeFromQueues(operation);
            return RoutingDecision.WAITING;
        }
        if (!request.queued) {
            queues.enqueue(operation);
            if (operation.attempts.isEmpty()) {
                recordDemand(request, now);
            }
        }
        boolean mayAttempt = operation.attempts.isEmpty() || mayRetry(operation, now);
        EndpointState endpoint = mayAttempt ? selector.endpointFor(operation, now) : null;
        if (endpoint != null && rules.isAllowed(operation, endpoint, now)) {
            return send(operation, endpoint, now);
        }
        if (!mayAttempt
                || rules.isPastDeadline(operation, now)
                || latencies.latestStartAt(operation) <= now) {
            return giveUp(operation, now);
        }
        return RoutingDecision.WAITING;
    }

    private void recordDemand(QueuedRequest request, double now) {
        admission.onArrival(request.endpoint, now);
        if (request.endpoint != null) {
            quota.onDemand(request.operation, request.endpoint, now);
        }
    }

    /** Records the outcome of an attempt and returns what to do for its operation. */
    public FollowUp onAttemptEnded(Attempt attempt, double now) {
        Operation operation = attempt.operation;
        EndpointState endpoint = EndpointState.of(attempt.node);
        endpoint.inFlight.remove(attempt);
        queues.markChanged();
        recordOutcome(attempt, endpoint, now);
        keyOrdering.onAttemptEnded(attempt, now);
        if (operation.ended) {
            removeFromQueues(operation);
            return FollowUp.NONE;
        }
        return operation.isInFlight() ? FollowUp.NONE : FollowUp.ROUTE_AGAIN;
    }

    /** Returns what is due now and the delay until the next turn. */
    public SchedulerTurn nextTurn(double now) {
        wakeUp.reset();
        queues.markChanged();
        refresh(now);
        List<Operation> due = selector.dueOperations(wakeUp, now);
        List<Operation> firstOfKey = keyOrdering.takeFirst(now);
        SchedulerTurn.EndpointPoll poll =
                discovery.takeDue(now)
                        ? SchedulerTurn.EndpointPoll.SUBSCRIBE
                        : SchedulerTurn.EndpointPoll.NONE;
        wakeUp.noLaterThan(discovery.nextAt());
        List<Attempt> cancelled = List.copyOf(pendingCancellations);
        pendingCancellations.clear();
        return new SchedulerTurn(wakeUp.delay(now), due, firstOfKey, List.of(), cancelled, poll);
    }

    /** Returns whether an attempt that is not written yet may start at its endpoint now. */
    public boolean mayStart(Attempt attempt, double now) {
        return rules.mayStart(attempt, now);
    }

    private RoutingDecision send(Operation operation, EndpointState endpoint, double now) {
        boolean isFirstAttempt = operation.attempts.isEmpty();
        queues.dequeue(operation);
        Attempt attempt = new Attempt(operation, endpoint.node, operation.attempts.size(), now);
        operation.attempts.add(attempt);
        endpoint.onSent(attempt, now);
        attempt.quotaTier = quota.tier(operation, endpoint, now);
        if (isFirstAttempt) {
            if (operation.shard < 0) {
                quota.onDemand(operation, endpoint, now);
            }
            quota.onSent(operation, endpoint, now);
        } else {
            retryBudget.onRetry(now);
        }
        double timeout = AttemptTimeout.of(operation, rules.deadlineMargin(), now);
        return RoutingDecision.send(endpoint.node, timeout);
    }

    private RoutingDecision giveUp(Operation operation, double now) {
        if (operation.isInFlight()) {
            return RoutingDecision.WAITING;
        }
        removeFromQueues(operation);
        clientRetries.onUnserved(operation);
        operation.ended = true;
        latencies.onGivenUp(operation.trafficClass);
        EndpointState endpoint = QueuedRequest.of(operation).endpoint;
        admission.onGivenUp(endpoint, now);
        if (!rules.retryPolicy().mayReject(operation)) {
            return RoutingDecision.ABANDONED;
        }
        return RoutingDecision.reject(
                admission.retryAfter(endpoint, now), rejectionReason(operation, now));
    }

    private Reason rejectionReason(Operation operation, double now) {
        if (!lease.holds(now)) {
            return Reason.NO_LEASE;
        }
        if (rules.isPastDeadline(operation, now)) {
            return Reason.DEADLINE;
        }
        return latencies.latestStartAt(operation) <= now
                ? Reason.OBJECTIVE_MISSED
                : Reason.NO_RETRY;
    }

    /**
     * Returns whether the operation may be retried at all; {@link DispatchRules} then checks the
     * endpoint.
     */
    private boolean mayRetry(Operation operation, double now) {
        return rules.retryPolicy().hasAttemptsLeft(operation)
                && !isOverloaded(QueuedRequest.of(operation).endpoint, now)
                && !operation.isInFlight()
                && latencies.latestStartAt(operation) > now;
    }

    /**
     * Returns whether more operations wait for an endpoint than its concurrency limit, or too many
     * of its arrivals were rejected. With a null endpoint, all waiting operations are compared with
     * the number of endpoints. Overload is judged per endpoint, so that it does not prevent retries
     * elsewhere.
     */
    private boolean isOverloaded(EndpointState endpoint, double now) {
        boolean queueExceedsLimit =
                endpoint == null
                        ? queues.size() > endpoints.size()
                        : endpoint.waitQueue.size() > (int) endpoint.concurrencyLimit;
        return queueExceedsLimit || admission.exceedsRejectionRatio(endpoint, now);
    }

    /** Refreshes the latency, admission and endpoint statistics once per refresh period. */
    private void refresh(double now) {
        if (now < nextRefreshAt) {
            return;
        }
        nextRefreshAt = now + REFRESH_PERIOD_MILLIS;
        latencies.refresh();
        admission.refresh(endpoints.all());
        for (EndpointState endpoint : endpoints.all()) {
            outliers.refresh(endpoint);
            concurrency.refresh(endpoint, now, REFRESH_PERIOD_MILLIS);
        }
        EndpointLatencies.refresh(endpoints.all());
    }

    private void recordOutcome(Attempt attempt, EndpointState endpoint, double now) {
        Operation operation = attempt.operation;
        if (attempt.otherGatewaysUnits > 0) {
            quota.onOtherGatewaysUsage(operation.volume, endpoint, attempt.otherGatewaysUnits, now);
        }
        if (attempt.outcome == Outcome.SERVED) {
            quota.onServed(operation.volume, endpoint, now);
        }
        outliers.onAttemptEnded(attempt, endpoint, now);
        if (attempt.outcome == Outcome.REJECTED) {
            concurrency.reduce(attempt, endpoint, now);
        }
        if (attempt.outcome == Outcome.TIMED_OUT) {
            admission.onTimedOut(attempt, endpoint, now);
        }
        if (attempt.outcome != Outcome.SERVED) {
            return;
        }
        latencies.onServed(attempt);
        slowStart.onServed(operation.units);
        EndpointLatencies.onServed(attempt, endpoint);
        double queueingDelay = latencies.queueingDelay(attempt);
        admission.onServed(attempt, endpoint, queueingDelay, now);
        concurrency.onServed(attempt, endpoint, queueingDelay, now);
    }

    /** Returns the state of an operation, which counts as an arrival on the first call. */
    private QueuedRequest requestFor(Operation operation, double now) {
        return operation.schedulerState == null
                ? recordArrival(operation, null, now)
                : QueuedRequest.of(operation);
    }

    private QueuedRequest recordArrival(
            Operation operation, KeyReservation reservation, double now) {
        QueuedRequest request = new QueuedRequest(operation, random.nextDouble());
        operation.schedulerState = request;
        retryBudget.onArrival(now);
        request.objectiveEndsAt = clientRetries.objectiveEndsAt(operation, now);
        keyOrdering.onArrival(request, reservation, now);
        return request;
    }

    /**
     * Removes an operation from its wait queue, and from its key's queue unless an attempt is in
     * flight.
     */
    private void removeFromQueues(Operation operation) {
        queues.dequeue(operation);
        keyOrdering.onOperationEnded(operation);
    }
}
