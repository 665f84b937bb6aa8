package sagepulley.tracing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import sagepulley.accounts.Accounts.End;

/** Tests which traces are kept, and with which weight. */
class TailSamplerTest {
    /** The number of kept traces is bounded by the elapsed time and the saved tokens. */
    @Property(tries = 40, seed = "3")
    void keptTracesStayWithinBudget(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 50) int maxTracesPerSecond,
            @ForAll @DoubleRange(min = 0.05, max = 20) double meanGapMillis) {
        SplittableRandom random = new SplittableRandom(seed);
        TailSampler sampler = new TailSampler(maxTracesPerSecond, 0.5, random.split());
        double now = 0;
        long keptTraces = 0;
        while (now < 10_000) {
            now += meanGapMillis * 2 * random.nextDouble();
            End end = End.values()[random.nextInt(4)];
            keptTraces +=
                    sampler.sample(
                                            end,
                                            end != End.SERVED || random.nextInt(5) == 0,
                                            random.nextInt(3),
                                            random.nextDouble() * 500,
                                            now)
                                    > 0
                            ? 1
                            : 0;
        }
        double maxKeptTraces = maxTracesPerSecond * (now / 1000) + 2 * maxTracesPerSecond + 5;
        assertTrue(
                keptTraces <= maxKeptTraces,
                keptTraces + " traces kept, expected at most " + maxKeptTraces);
    }

    @Test
    void abandonedOperationsAreKeptAmongManyRejected() {
        TailSampler sampler = new TailSampler(20, 0.001, new SplittableRandom(1));
        int keptTraces = 0;
        for (int i = 0; i < 100_000; i++) {
            if (i % 10_000 == 5_000) {
                keptTraces += sampler.sample(End.ABANDONED, true, 0, 900, i * 0.5) > 0 ? 1 : 0;
                assertEquals(TailSampler.SampleReason.ABANDONED, sampler.reason());
            } else {
                sampler.sample(End.REJECTED, true, 0, 10, i * 0.5);
            }
        }
        assertEquals(10, keptTraces);
    }

    @Test
    void weightsSumToNumberOfOperations() {
        TailSampler sampler = new TailSampler(20, 0.001, new SplittableRandom(2));
        double totalWeight = 0;
        int keptTraces = 0;
        int operations = 200_000;
        for (int i = 0; i < operations; i++) {
            double weight = sampler.sample(End.REJECTED, true, 0, 10, i);
            totalWeight += weight;
            keptTraces += weight > 0 ? 1 : 0;
        }
        assertTrue(
                keptTraces > 200 && keptTraces < 200 * 20,
                "traces kept, expected 201 to 3999: " + keptTraces);
        assertEquals(operations, totalWeight, 0.2 * operations);
    }

    @Test
    void slowestOperationsAreKeptWhenObjectiveIsMet() {
        TailSampler sampler = new TailSampler(50, 0, new SplittableRandom(3));
        SplittableRandom random = new SplittableRandom(4);
        int keptSlowTraces = 0;
        int keptOtherTraces = 0;
        for (int i = 0; i < 20_000; i++) {
            boolean isSlow = i > 5_000 && i % 500 == 0;
            double duration = isSlow ? 190 : 10 + random.nextDouble();
            if (sampler.sample(End.SERVED, false, 1, duration, i * 5.0) > 0) {
                if (isSlow) {
                    keptSlowTraces++;
                } else {
                    keptOtherTraces++;
                }
            }
        }
        assertTrue(
                keptSlowTraces >= 25,
                keptSlowTraces + " of 29 slow operations kept, expected at least 25");
        assertTrue(
                keptOtherTraces < 400,
                keptOtherTraces + " other operations kept, expected fewer than 400");
    }
}
