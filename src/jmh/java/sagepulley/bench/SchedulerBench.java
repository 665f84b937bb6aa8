package sagepulley.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OperationsPerInvocation;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import sagepulley.scheduler.Scheduler;
import sagepulley.model.TrafficClass;
import sagepulley.model.Deployment;
import sagepulley.model.Attempt;
import sagepulley.model.Node;
import sagepulley.model.Operation;
import sagepulley.model.Outcome;
import sagepulley.model.SchedulerTurn;
import sagepulley.model.RoutingDecision;
import sagepulley.model.TenantPlan;
import sagepulley.model.ServicePolicy;
import sagepulley.model.FollowUp;
import sagepulley.model.Volume;

/**
 * Measures the scheduler's cost per operation from arrival to completion with modelled nodes, below
 * their capacity or with a constant number of waiting operations.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 4)
@Measurement(iterations = 6)
public class SchedulerBench {
    private static final int OPERATIONS = 1_000;
    private static final double SERVICE_MILLIS = 10;
    private static final int SLOTS = 4;

    @Param({"8", "48"})
    int nodeCount;

    /** Operations waiting or in flight throughout; 0 selects arrivals at 60 % of the capacity. */
    @Param({"0", "2000", "12000"})
    int held;

    private Scheduler scheduler;
    private List<Volume> volumes;
    private final List<TrafficClass> trafficClasses = new ArrayList<>();
    private final PriorityQueue<double[]> completions = new PriorityQueue<>((a, b) -> Double.compare(a[0], b[0]));
    private final List<Attempt> attempts = new ArrayList<>();
    private Random random;
    private double now;
    private double nextWakeUp;
    private long lastId;

    @Setup(Level.Iteration)
    public void start() {
        random = new Random(7);
        now = 100_000;
        trafficClasses.clear();
        completions.clear();
        attempts.clear();
        // A long objective and deadline keep waiting operations from being abandoned.
        double latencyObjective = held == 0 ? 500 : 1e7;
        for (int i = 0; i < 3; i++) {
            trafficClasses.add(new TrafficClass(i, "band " + i, TrafficClass.Idempotency.IDEMPOTENT, TrafficClass.DeduplicationScope.ALL, 0, false, i == 1, latencyObjective, 0,
                    latencyObjective * 4, 3 - i, 0.2));
        }
        List<TenantPlan> plans = List.of(new TenantPlan(0, "plain", 30, 0, 1, 1, 0, 0, 0),
                new TenantPlan(1, "reserved", 60, 30, 3, 1, 0, 0, 0));
        ServicePolicy policy = new ServicePolicy(8, 1000, 0.25, 10_000, 2, 2000, 6, 200, Double.NaN, 0, Double.NaN, 3, false);
        Deployment site = new Deployment(0, 1, 0, trafficClasses, plans, policy, 2, nodeCount, 2, 6, 0.35, 0.05, 1000, true,
                false, Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY, false, true, true, 1000, 0, 0, 0.05, false, List.of());
        scheduler = new Scheduler(site, 7);
        List<Node> nodes = new ArrayList<>();
        for (int i = 0; i < nodeCount; i++) {
            Node node = new Node(i);
            node.cell = i;
            nodes.add(node);
        }
        scheduler.onEndpointList(nodes, now);
        volumes = new ArrayList<>();
        for (int i = 0; i < nodeCount * 6; i++) {
            volumes.add(new Volume(i, plans.get(i % 2)));
        }
        for (int i = 0; i < held; i++) {
            arrive();
        }
    }

    @Benchmark
    @OperationsPerInvocation(OPERATIONS)
    public long operations() {
        double rate = nodeCount * SLOTS / SERVICE_MILLIS * 0.6;
        for (int i = 0; i < OPERATIONS; i++) {
            if (held > 0) {
                // One arrival per completion keeps the number of waiting operations constant.
                double[] completion = completions.poll();
                now = Math.max(now, completion[0]);
                finish(attempts.get((int) completion[1]));
                arrive();
                continue;
            }
            double next = now - Math.log(1 - random.nextDouble()) / rate;
            while (!completions.isEmpty() && completions.peek()[0] <= next || nextWakeUp <= next) {
                if (!completions.isEmpty() && completions.peek()[0] <= nextWakeUp) {
                    double[] completion = completions.poll();
                    now = completion[0];
                    finish(attempts.get((int) completion[1]));
                } else {
                    now = nextWakeUp;
                    dispatchDue();
                }
            }
            now = next;
            arrive();
        }
        return lastId;
    }

    private void arrive() {
        // The data of a volume is on two nodes.
        int volume = random.nextInt(volumes.size());
        Operation operation = new Operation(++lastId, trafficClasses.get(random.nextInt(3)), volumes.get(volume), lastId,
                1 + random.nextInt(4), (volume + random.nextInt(2)) % nodeCount, now,
                now + trafficClasses.get(0).deadline(), false);
        recordAttempt(operation, scheduler.route(operation, now));
        dispatchDue();
    }

    private void finish(Attempt attempt) {
        attempt.outcome = Outcome.SERVED;
        attempt.duration = now - attempt.sentAt;
        attempt.operation.ended = true;
        if (scheduler.onAttemptEnded(attempt, now) == FollowUp.ROUTE_AGAIN) {
            recordAttempt(attempt.operation, scheduler.route(attempt.operation, now));
        }
        dispatchDue();
    }

    private void dispatchDue() {
        SchedulerTurn turn = scheduler.nextTurn(now);
        while (!turn.due().isEmpty()) {
            boolean progressed = false;
            for (Operation operation : turn.due()) {
                RoutingDecision decision = scheduler.route(operation, now);
                progressed |= decision.kind() != RoutingDecision.Kind.WAIT;
                recordAttempt(operation, decision);
            }
            if (!progressed) {
                break;
            }
            turn = scheduler.nextTurn(now);
        }
        nextWakeUp = now + Math.max(0.01, turn.delay());
    }

    private void recordAttempt(Operation operation, RoutingDecision decision) {
        if (decision.kind() == RoutingDecision.Kind.SEND) {
            attempts.add(operation.attempts.get(operation.attempts.size() - 1));
            completions.add(new double[] {now + SERVICE_MILLIS * (0.5 + random.nextDouble()), attempts.size() - 1});
        }
    }
}
