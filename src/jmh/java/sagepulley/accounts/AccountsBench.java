package sagepulley.accounts;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import sagepulley.model.TrafficClass;
import sagepulley.model.QuotaTier;
import sagepulley.model.Reason;
import sagepulley.tracing.TailSampler;

/**
 * Measures the accounting of one operation, dispatched at once or held first, and of the tail
 * sampler.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class AccountsBench {
    private static final TrafficClass TRAFFIC_CLASS = new TrafficClass(0, "read", TrafficClass.Idempotency.IDEMPOTENT, TrafficClass.DeduplicationScope.CELL, 0, false, false,
            200, 0, 1000, 3, 0.2);
    private static final int MAX_IN_FLIGHT = 32;

    @Param({"10", "10000"})
    public int volumes;
    @Param({"8", "200"})
    public int nodes;

    private final Accounts accounts = new Accounts(Accounts.Bounds.DEFAULT, 0);
    private final TailSampler sampler = new TailSampler(20, 0.001, new SplittableRandom(1));
    private final OperationTimer[] inFlight = new OperationTimer[MAX_IN_FLIGHT];
    private final SplittableRandom random = new SplittableRandom(2);
    private double now;
    private int nextSlot;

    @Benchmark
    public Object ordinary() {
        return runOperation(false);
    }

    @Benchmark
    public Object held() {
        return runOperation(true);
    }

    @Benchmark
    public double sampled() {
        now += 0.03;
        return sampler.sample(Accounts.End.SERVED, false, 0, random.nextDouble() * 10, now);
    }

    /** Starts one operation and answers the oldest one in flight. */
    private Object runOperation(boolean isHeld) {
        now += 0.03;
        OperationTimer timer =
                accounts.begin(1 + random.nextInt(volumes), TRAFFIC_CLASS, false, 1, now);
        int node = 1 + random.nextInt(nodes);
        if (isHeld) {
            accounts.waitStarted(timer, LatencyComponent.SHARE_FULL, node, now);
            accounts.waitStarted(timer, LatencyComponent.SHARE_FULL, node, now + 0.01);
        }
        accounts.attemptSent(timer, node, QuotaTier.SHARE, now + 0.02);
        OperationTimer oldest = inFlight[nextSlot];
        inFlight[nextSlot] = timer;
        nextSlot = (nextSlot + 1) % MAX_IN_FLIGHT;
        if (oldest != null) {
            accounts.attemptAnswered(oldest, 0.3 * random.nextDouble(), 0.2 + 0.1 * random.nextDouble(), 2, now + 0.02);
            accounts.end(oldest, Accounts.End.SERVED, Reason.NONE, 1, now + 0.02);
        }
        return timer;
    }
}
