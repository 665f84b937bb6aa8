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
import sagepulley.model.TrafficClass;

/**
 * Every decision of one gateway: the Flint placement score, each node's bound, and the guards round
 * them.
 *
 * <p>How it is called (the types are those of sagepulley.model; times are milliseconds on one
 * clock):
 *
 * <ul>
 *   <li>place(operation): where to send it, or not yet, or never; a SEND has already added its
 *       attempt
 *   <li>after(attempt): what to do for its operation after this outcome
 *   <li>pause(): how long to wait, and what is due now: operations to place, probes, list calls;
 *       asked again until no operation is due
 *   <li>told, with no answer: listed, listFailed, probed, left, found, needless
 * </ul>
 *
 * <p>The caller keeps timers and operations.
 */
public final class Scheduler {
    private static final double BUSY_REFRESH = 1_000;
    // Attempts go on this part of the target time after it, where a late answer is worth this part
    // at least.
    private static final double LATE_GRACE = 0.5;
    private static final double LATE_WORTH = 0.5;

    private final Deployment deployment;
    private final ServicePolicy policy;
    private final RandomGenerator random;
    final LatencyTracker latencies;
    final QuotaTracker quota;
    final EndpointTable endpoints;
    private final RequestQueues queues;

    private final List<Attempt> unwanted = new ArrayList<>();
    private final WakeUpTime wakeUp = new WakeUpTime();
    final KeyOrdering keyOrdering;
    final OutlierDetector outliers;
    final ConcurrencyLimiter concurrency;
    final AdmissionController admission;
    private final RequestSelector selector;
    private final SlowStartBudget slowStart;
    final DispatchRules rules;
    private final RetryBudget retryBudget;
    private final ClientRetryTracker clientRetries;

    final EndpointLease lease;
    private double refreshAt = Double.NEGATIVE_INFINITY;
    private final DiscoverySchedule discovery;

    public Scheduler(Deployment site, long seed) {
        this.deployment = site;
        this.policy = site.policy();
        this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        this.latencies = new LatencyTracker(deployment.trafficClasses());
        this.quota = new QuotaTracker(deployment, wakeUp);
        this.outliers = new OutlierDetector(policy.slowStartTime(), latencies, wakeUp);
        this.concurrency = new ConcurrencyLimiter(latencies, outliers);
        this.admission = new AdmissionController(deployment, latencies, quota, outliers);
        this.slowStart = new SlowStartBudget(deployment, wakeUp);
        this.keyOrdering = new KeyOrdering(policy.keyIdleTime(), deployment.tick(), wakeUp);
        this.discovery = new DiscoverySchedule(site, random);
        this.lease = new EndpointLease(site.notifiedWithin(), policy.drainGrace());
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

    // ---- facts ----

    /** The list as it now stands; a node that left it is GONE. */
    public void onEndpointList(List<Node> nodes, double now) {
        boolean first = !endpoints.hasList();
        endpoints.update(nodes, now);
        queues.markChanged();
        if (first) {
            slowStart.onGatewayStarted(now);
            discovery.started(now);
        } else if (!lease.isBounded()) {
            // On a platform listConfirmed tells it: a list may also come from an address that
            // discovery has left, which answers no call that is due.
            discovery.answered();
        }
        queues.onEndpointList();
    }

    /** The list held is known to have been current at a time. */
    public void onListConfirmed(double asOf) {
        lease.confirmed(asOf);
        queues.markChanged();
        discovery.answered();
    }

    /** Nobody could reach discovery at a time. */
    public void onDiscoveryUnreachable(double at) {
        lease.unreachable(at);
    }

    /** A list call failed, or the subscription dropped. */
    public void onPollFailed(double now) {
        discovery.failed(now);
    }

    /** A new configuration was told at a time, which may move discovery. */
    public void onReloadNotified(double toldAt) {
        lease.reloadTold(toldAt);
    }

    /** A configuration whose reading began at a time is known, or known to be of no use. */
    public void onConfigurationRead(double readAt) {
        lease.reloadRead(readAt);
    }

    /** The list is kept elsewhere from now on, and nobody has been asked there. */
    public void onDiscoveryMoved(double now) {
        discovery.moved(now);
    }

    /** What a probe found. */
    public void onHealthCheck(
            Node node, Outcome outcome, double took, double[] report, double now) {
        // No probe is asked for yet.
    }

    /** The client has left: nothing more is owed or sent, and work for nobody is called off. */
    public void onClientCancelled(Operation operation, double now) {
        forsake(operation);
        latencies.onCancelled(operation, now);
        for (Attempt attempt : operation.attempts) {
            if (attempt.outcome == null && deployment.mayCancel()) {
                unwanted.add(attempt);
            }
        }
    }

    /**
     * The cell of an operation's extent became known (-1: it is a new object) while it waits or is
     * out.
     */
    public void onExtentLocated(Operation operation, int cell) {
        queues.relocate(operation, cell);
    }

    /** The operation has ended without a node: there is nothing to read or to do. */
    public void onEndedWithoutNode(Operation operation) {
        drop(operation);
    }

    // ---- the three calls ----

    /** Where to send this operation, or not yet, or never. */
    public RoutingDecision route(Operation operation, double now) {
        QueuedRequest request = ticket(operation, now);
        if (operation.ended) {
            drop(operation);
            return RoutingDecision.NOT_YET;
        }
        if (!request.queued) {
            queues.enqueue(operation);
            if (operation.attempts.isEmpty()) {
                admission.onArrival(request.endpoint, now);
            }
            if (operation.attempts.isEmpty() && request.endpoint != null) {
                quota.onDemand(operation, request.endpoint, now);
            }
        }
        boolean mayAttempt = operation.attempts.isEmpty() || mayAttemptAgain(operation, now);
        EndpointState endpoint = mayAttempt ? selector.endpointFor(operation, now) : null;
        if (endpoint != null && rules.isAllowed(operation, endpoint, now)) {
            return send(operation, endpoint, now);
        }
        if (!mayAttempt
                || rules.isPastDeadline(operation, now)
                || latencies.lateAt(operation) <= now) {
            return giveUp(operation, now);
        }
        return RoutingDecision.NOT_YET;
    }

    /** What to do for the operation after this outcome. */
    public FollowUp onAttemptEnded(Attempt attempt, double now) {
        Operation operation = attempt.operation;
        EndpointState endpoint = EndpointState.of(attempt.node);
        endpoint.inFlight.remove(attempt);
        queues.markChanged();
        learn(attempt, endpoint, now);
        keyOrdering.onAttemptEnded(attempt, now);
        if (operation.ended) {
            drop(operation);
            return FollowUp.NONE;
        }
        return operation.isInFlight() ? FollowUp.NONE : FollowUp.ROUTE_AGAIN;
    }

    /** How long to wait before asking again, and what is due now. */
    public SchedulerTurn nextTurn(double now) {
        wakeUp.reset();
        queues.markChanged();
        refresh(now);
        List<Operation> due = new ArrayList<>(4);
        List<Operation> late = queues.overdue(latencies, rules.deadlineMargin(), wakeUp, now);
        Operation newest = selector.firstNewObject(now);
        int at = 0;
        for (int i = queues.nextEndpointWithQueue(0);
                i >= 0;
                i = queues.nextEndpointWithQueue(i + 1)) {
            EndpointState endpoint = endpoints.get(i);
            Operation next = selector.select(endpoint, now);
            if (next != null && selector.goesBefore(next, newest, endpoint, now)) {
                due.add(next);
            }
            at = addLate(late, at, endpoint, due);
        }
        if (newest != null && selector.placementFor(newest, now) != null) {
            due.add(newest);
        }
        addLate(late, at, null, due);
        SchedulerTurn.EndpointPoll call =
                discovery.takeDue(now)
                        ? SchedulerTurn.EndpointPoll.SUBSCRIBE
                        : SchedulerTurn.EndpointPoll.NONE;
        wakeUp.noLaterThan(discovery.nextAt());
        List<Attempt> callOff = List.copyOf(unwanted);
        unwanted.clear();
        return new SchedulerTurn(wakeUp.delay(now), due, List.of(), callOff, call);
    }

    /** Adds those of a seat's queue, or of the queues behind all seats. */
    private static int addLate(
            List<Operation> late, int at, EndpointState endpoint, List<Operation> due) {
        int next = at;
        while (next < late.size()
                && (endpoint == null || QueuedRequest.of(late.get(next)).endpoint == endpoint)) {
            Operation operation = late.get(next++);
            if (!due.contains(operation)) {
                due.add(operation);
            }
        }
        return next;
    }

    /** Whether an attempt that was not written yet may begin at its endpoint now. */
    public boolean mayStart(Attempt attempt, double now) {
        return rules.mayStart(attempt, now);
    }

    // ---- sending ----

    private RoutingDecision send(Operation operation, EndpointState endpoint, double now) {
        boolean first = operation.attempts.isEmpty();
        queues.dequeue(operation);
        Attempt attempt = new Attempt(operation, endpoint.node, operation.attempts.size(), now);
        operation.attempts.add(attempt);
        endpoint.onSent(attempt, now);
        attempt.quotaTier = quota.tier(operation, endpoint, now);
        if (first) {
            if (operation.shard < 0) {
                quota.onDemand(operation, endpoint, now);
            }
            quota.onSent(operation, endpoint, now);
        } else {
            retryBudget.onRetry(now);
        }
        return RoutingDecision.send(endpoint.node, timeout(operation, now));
    }

    /**
     * An attempt ends with the target time: what is never answered (by a node that loses answers,
     * hangs or is cut off) must not hold a slot of the bound until the client's patience ends, and
     * work that comes late anyway stands in every gateway's way at the node, which drops what has
     * ended.
     */
    private double timeout(Operation operation, double now) {
        TrafficClass trafficClass = operation.trafficClass;
        double end = QueuedRequest.of(operation).objectiveAt;
        // What is late already, or worth nearly as much when late, goes on for a while.
        if (end <= now || trafficClass.lateWeightFraction() >= LATE_WORTH) {
            end = Math.max(end, now) + LATE_GRACE * trafficClass.latencyObjective();
        }
        return Math.min(end, operation.deadline - rules.deadlineMargin()) - now;
    }

    private RoutingDecision giveUp(Operation operation, double now) {
        if (operation.isInFlight()) {
            return RoutingDecision.NOT_YET;
        }
        forsake(operation);
        operation.ended = true;
        latencies.onGivenUp(operation.trafficClass);
        EndpointState endpoint = QueuedRequest.of(operation).endpoint;
        admission.onGivenUp(endpoint, now);
        if (!rules.retryPolicy().mayReject(operation)) {
            return RoutingDecision.ABANDONED;
        }
        Reason reason =
                !lease.holds(now)
                        ? Reason.NO_LEASE
                        : rules.isPastDeadline(operation, now)
                                ? Reason.DEADLINE
                                : latencies.lateAt(operation) <= now
                                        ? Reason.OBJECTIVE_MISSED
                                        : Reason.NO_RETRY;
        return RoutingDecision.reject(admission.retryAfter(endpoint, now), reason);
    }

    /** Whether another attempt is wanted at all; what the rules say of it is asked elsewhere. */
    private boolean mayAttemptAgain(Operation operation, double now) {
        return rules.retryPolicy().hasAttemptsLeft(operation)
                && !isOverloaded(QueuedRequest.of(operation).endpoint, now)
                && !operation.isInFlight()
                && latencies.lateAt(operation) > now;
    }

    /**
     * Whether more waits for an endpoint than it can have in flight, or too much was rejected. An
     * overload of one endpoint forbids no retry at another.
     */
    private boolean isOverloaded(EndpointState endpoint, double now) {
        boolean queueIsLong =
                endpoint == null
                        ? queues.size() > endpoints.size()
                        : endpoint.waitQueue.size() > (int) endpoint.concurrencyLimit;
        return queueIsLong || admission.rejectsTooMuch(endpoint, now);
    }

    private void refresh(double now) {
        if (now < refreshAt) {
            return;
        }
        refreshAt = now + BUSY_REFRESH;
        latencies.refresh();
        admission.refresh(endpoints.all());
        for (EndpointState endpoint : endpoints.all()) {
            outliers.refresh(endpoint);
            concurrency.refresh(endpoint, now, BUSY_REFRESH);
        }
        EndpointLatencies.refresh(endpoints.all());
    }

    // ---- what is learned from an outcome ----

    private void learn(Attempt attempt, EndpointState endpoint, double now) {
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
        double queued = latencies.queuedTime(attempt);
        admission.onServed(attempt, endpoint, queued, now);
        concurrency.onServed(attempt, endpoint, queued, now);
    }

    // ---- books ----

    private QueuedRequest ticket(Operation operation, double now) {
        if (operation.schedulerState != null) {
            return QueuedRequest.of(operation);
        }
        QueuedRequest request = new QueuedRequest(operation, random.nextDouble());
        operation.schedulerState = request;
        retryBudget.onArrival(now);
        request.objectiveAt = clientRetries.objectiveAt(operation, now);
        keyOrdering.onArrival(request);
        return request;
    }

    /**
     * Drops an operation that was not served, and remembers its target time for the client's
     * repeat.
     */
    private void forsake(Operation operation) {
        drop(operation);
        clientRetries.onUnserved(operation);
    }

    /**
     * Takes an operation that is over out of every queue; its key moves on once no attempt of it is
     * out.
     */
    private void drop(Operation operation) {
        queues.dequeue(operation);
        keyOrdering.onOperationEnded(operation);
    }
}
