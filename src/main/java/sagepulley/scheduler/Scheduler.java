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

/**
 * Decides for one gateway which operation goes to which endpoint, when, and which is given up. It
 * composes the concerns, each a class of this package with state of its own, and keeps the order in
 * which they are called; the order of random draws is part of its behaviour.
 *
 * <p>Its caller keeps the operations and the timer, and calls from one thread:
 *
 * <ul>
 *   <li>{@link #route}: where to send an operation, or not yet, or never; it has added the attempt
 *       that is to be sent
 *   <li>{@link #onAttemptEnded}: what to do for the operation of an attempt with an outcome
 *   <li>{@link #nextTurn}: how long to wait, and what is due now; asked again until no operation is
 *       due
 *   <li>the other methods tell it of events and have no answer
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

    // The views of this package read these.
    final EndpointLease lease;
    final EndpointTable endpoints;
    final DispatchRules rules;
    final LatencyTracker latencies;
    final QuotaTracker quota;
    final KeyOrdering keyOrdering;
    final OutlierDetector outliers;
    final ConcurrencyLimiter concurrency;
    final AdmissionController admission;

    /** Attempts in flight whose client has cancelled, until the next turn. */
    private final List<Attempt> pendingCancellations = new ArrayList<>();

    private double nextRefreshAt = Double.NEGATIVE_INFINITY;

    /** A scheduler without endpoints; the seed makes its random draws repeatable. */
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

    /** Takes over the endpoint list; an endpoint that is gone from it has the phase REMOVED. */
    public void onEndpointList(List<Node> nodes, double now) {
        boolean isFirstList = !endpoints.hasList();
        endpoints.update(nodes, now);
        queues.markChanged();
        if (isFirstList) {
            slowStart.onGatewayStarted(now);
            discovery.started(now);
        } else if (!lease.isBounded()) {
            // With a bounded lease onListConfirmed says so: a list may also come from an address
            // that discovery has left, which answers no poll.
            discovery.pollSucceeded();
        }
        queues.onEndpointList();
    }

    /** The endpoint list is known to have been current at a time. */
    public void onListConfirmed(double asOf) {
        lease.confirmed(asOf);
        queues.markChanged();
        discovery.pollSucceeded();
    }

    /** Nobody could reach discovery at a time. */
    public void onDiscoveryUnreachable(double at) {
        lease.unreachable(at);
    }

    /** A poll of the endpoint list failed, or its watch ended. */
    public void onPollFailed(double now) {
        discovery.pollFailed(now);
    }

    /** A new configuration, which may move discovery, was notified at a time. */
    public void onReloadNotified(double at) {
        lease.reloadNotified(at);
    }

    /** A configuration whose reading began at a time is known, or known to be of no use. */
    public void onConfigurationRead(double readAt) {
        lease.reloadCompleted(readAt);
    }

    /** Discovery is at another address from now on, and was not polled there yet. */
    public void onDiscoveryMoved(double now) {
        discovery.addressChanged(now);
    }

    /** A health check ended; none is asked for yet, so nothing is learned. */
    public void onHealthCheck(
            Node node, Outcome outcome, double took, double[] report, double now) {}

    /**
     * The client has cancelled an operation: what is in flight for it is cancelled at the next
     * turn.
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

    /**
     * The cell of an operation's extent became known (-1: it is a new object) while it waits or is
     * in flight.
     */
    public void onExtentLocated(Operation operation, int cell) {
        queues.relocate(operation, cell);
    }

    /** The operation has ended without an endpoint, as there is nothing to read or to do. */
    public void onEndedWithoutNode(Operation operation) {
        removeFromQueues(operation);
    }

    /** Where to send this operation, or not yet, or never. */
    public RoutingDecision route(Operation operation, double now) {
        QueuedRequest request = requestFor(operation, now);
        if (operation.ended) {
            removeFromQueues(operation);
            return RoutingDecision.WAITING;
        }
        if (!request.queued) {
            queues.enqueue(operation);
            if (operation.attempts.isEmpty()) {
                recordArrival(request, now);
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

    private void recordArrival(QueuedRequest request, double now) {
        admission.onArrival(request.endpoint, now);
        if (request.endpoint != null) {
            quota.onDemand(request.operation, request.endpoint, now);
        }
    }

    /** Learns from the outcome of an attempt, and says what to do for its operation. */
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

    /** How long to wait before asking again, and what is due now. */
    public SchedulerTurn nextTurn(double now) {
        wakeUp.reset();
        queues.markChanged();
        refresh(now);
        List<Operation> due = selector.dueOperations(wakeUp, now);
        SchedulerTurn.EndpointPoll poll =
                discovery.takeDue(now)
                        ? SchedulerTurn.EndpointPoll.SUBSCRIBE
                        : SchedulerTurn.EndpointPoll.NONE;
        wakeUp.noLaterThan(discovery.nextAt());
        List<Attempt> cancelled = List.copyOf(pendingCancellations);
        pendingCancellations.clear();
        return new SchedulerTurn(wakeUp.delay(now), due, List.of(), cancelled, poll);
    }

    /** Whether an attempt that was not written yet may begin at its endpoint now. */
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
        return latencies.latestStartAt(operation) <= now ? Reason.OBJECTIVE_MISSED : Reason.NO_RETRY;
    }

    /** Whether a retry is wanted at all; whether the rules allow it is asked for each endpoint. */
    private boolean mayRetry(Operation operation, double now) {
        return rules.retryPolicy().hasAttemptsLeft(operation)
                && !isOverloaded(QueuedRequest.of(operation).endpoint, now)
                && !operation.isInFlight()
                && latencies.latestStartAt(operation) > now;
    }

    /**
     * Whether more waits for an endpoint than it can have in flight, or too much was rejected. An
     * overload of one endpoint forbids no retry at another.
     */
    private boolean isOverloaded(EndpointState endpoint, double now) {
        boolean queueExceedsLimit =
                endpoint == null
                        ? queues.size() > endpoints.size()
                        : endpoint.waitQueue.size() > (int) endpoint.concurrencyLimit;
        return queueExceedsLimit || admission.exceedsRejectionRatio(endpoint, now);
    }

    /** Lets the statistics of all concerns fade and be taken anew, once a period. */
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
        double queued = latencies.queueingDelay(attempt);
        admission.onServed(attempt, endpoint, queued, now);
        concurrency.onServed(attempt, endpoint, queued, now);
    }

    /** The state of an operation, which has just arrived if it has none. */
    private QueuedRequest requestFor(Operation operation, double now) {
        if (operation.schedulerState != null) {
            return QueuedRequest.of(operation);
        }
        QueuedRequest request = new QueuedRequest(operation, random.nextDouble());
        operation.schedulerState = request;
        retryBudget.onArrival(now);
        request.objectiveEndsAt = clientRetries.objectiveEndsAt(operation, now);
        keyOrdering.onArrival(request);
        return request;
    }

    /** Takes an operation that has ended out of its queue, and out of its key's once it may. */
    private void removeFromQueues(Operation operation) {
        queues.dequeue(operation);
        keyOrdering.onOperationEnded(operation);
    }
}
