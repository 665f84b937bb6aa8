package sagepulley.accounts;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import sagepulley.model.Band;

class AccountsTest {
    private static final Band BAND = new Band(0, "read", Band.Repeat.IDEMPOTENT, Band.Group.CELL, 0, false, false,
            200, 0, 1000, 3, 0.2);

    /** Whatever happens to an operation, in any order, its parts sum to its whole time, and so do the causes. */
    @Property(tries = 300, seed = "31")
    void partsSumToTheWhole(@ForAll @Size(min = 1, max = 30) List<@IntRange(min = 0, max = 40) Integer> steps,
            @ForAll @DoubleRange(min = 0, max = 1e7) double start,
            @ForAll @Size(min = 1, max = 5) List<@DoubleRange(min = 0, max = 900) Double> lengths) {
        Accounts accounts = new Accounts(4);
        Meter meter = accounts.begin(7, BAND, 2, start);
        double now = start;
        for (int i = 0; i < steps.size(); i++) {
            double length = lengths.get(i % lengths.size());
            now += length;
            int step = steps.get(i);
            if (step < 16) {
                accounts.turn(meter, Spent.values()[step], step % 3, new Ahead(new long[] {7, 8},
                        new double[] {step, 1}), now);
            } else if (step < 28) {
                // A node may tell more than the hop took.
                accounts.answered(meter, length * (step - 16) / 6, length * (step - 20) / 4, now);
            } else {
                accounts.failed(meter, now);
            }
        }
        accounts.end(meter, Accounts.End.SATISFIED, now);
        accounts.turn(meter, Spent.FUTILE, 1, Ahead.NOBODY, now + 500); // after its end nothing is added
        double sum = 0;
        for (Spent part : Spent.values()) {
            assertTrue(meter.spent(part) >= 0);
            sum += meter.spent(part);
        }
        assertEquals(now - start, sum, 1e-6 * Math.max(1, now));
        if (now - start < 500_000) {
            double causes = accounts.report(7, start, now).causes().stream()
                    .mapToDouble(Accounts.Charged::waited).sum();
            assertEquals(sum, causes, 1e-6 * Math.max(1, now));
        }
    }

    @Test
    void aSlowNodeIsToldFromANeighbour() {
        Accounts accounts = new Accounts(10);
        for (int node = 1; node <= 4; node++) {
            for (int i = 0; i < 50; i++) {
                Meter meter = accounts.begin(1, BAND, 1, 0);
                accounts.turn(meter, Spent.ON_THE_WAY, node, Ahead.NOBODY, 0);
                accounts.answered(meter, 0, node == 4 ? 80 : 10, 100);
                accounts.end(meter, Accounts.End.SATISFIED, 100);
            }
        }
        Meter waits = accounts.begin(2, BAND, 1, 1000);
        accounts.turn(waits, Spent.SHARE_FULL, 4, new Ahead(new long[] {9}, new double[] {3}), 1000);
        accounts.end(waits, Accounts.End.DECLINED, 1800);
        Accounts.Report report = accounts.report(2, 0, 2000);
        assertEquals(Cause.Kind.SLOW_NODE, report.causes().get(0).cause().kind());
        assertEquals(4, report.causes().get(0).cause().number());
        assertEquals(7.0 / 8, report.causes().get(0).share(), 0.01);
        assertEquals(new Cause(Cause.Kind.NEIGHBOUR, 9, false), report.causes().get(1).cause());
        assertEquals(3, report.utilityLost());
    }

    @Test
    void memoryStaysBoundedWhateverComes() {
        Accounts accounts = new Accounts(5);
        for (int i = 0; i < 100_000; i++) {
            Meter meter = accounts.begin(i + 1, BAND, 1, i * 100.0);
            accounts.turn(meter, Spent.SHARE_FULL, i, new Ahead(new long[] {i + 2, i + 3}, new double[] {1, 2}),
                    i * 100.0);
            accounts.end(meter, Accounts.End.SCRAPPED, i * 100.0 + 50);
        }
        assertEquals(6, accounts.volumes().size());
        assertTrue(accounts.report(0, 9_900_000, 10_000_000).causes().size() <= 25);
        // What is older than ten minutes is found in coarser windows.
        assertEquals(100_000 - 5, accounts.report(0, 0, 10_000_000).operations());
    }
}
