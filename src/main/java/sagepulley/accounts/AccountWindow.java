package sagepulley.accounts;

import org.HdrHistogram.IntCountsHistogram;

/** Sums of one volume over one stretch of time. */
final class AccountWindow implements Mergeable<AccountWindow> {
    static final int MOST_CAUSES = 40;

    /** Of ten microseconds each; kept to one digit, which is 6 percent. */
    static final double TICKS = 100;

    static final long LONGEST_TICK = 100L * 3_600_000;
    static final int PARTS = PlanTier.values().length;

    final double[] parts = new double[LatencyComponent.values().length];
    final CauseCharges causes = new CauseCharges(MOST_CAUSES);
    long declined;
    long scrapped;
    long left;

    /** By part of the plan. */
    final long[] met = new long[PARTS];

    final long[] missed = new long[PARTS];
    final double[] units = new double[PARTS];
    final double[] lost = new double[PARTS];
    final IntCountsHistogram[] times = new IntCountsHistogram[PARTS];

    /** Counts an operation that took so long. */
    void time(PlanTier part, double took) {
        times(part.ordinal())
                .recordValue(Math.min(LONGEST_TICK, Math.max(0, (long) (took * TICKS))));
    }

    IntCountsHistogram times(int part) {
        if (times[part] == null) {
            times[part] = new IntCountsHistogram(1);
            times[part].setAutoResize(true);
        }
        return times[part];
    }

    long operations() {
        long sum = 0;
        for (int i = 0; i < PARTS; i++) {
            sum += met[i] + missed[i];
        }
        return sum;
    }

    @Override
    public boolean empty() {
        return operations() == 0 && causes.size() == 0;
    }

    @Override
    public void add(AccountWindow other) {
        for (int i = 0; i < parts.length; i++) {
            parts[i] += other.parts[i];
        }
        causes.addAll(other.causes);
        declined += other.declined;
        scrapped += other.scrapped;
        left += other.left;
        for (int i = 0; i < PARTS; i++) {
            met[i] += other.met[i];
            missed[i] += other.missed[i];
            units[i] += other.units[i];
            lost[i] += other.lost[i];
            if (other.times[i] != null) {
                times(i).add(other.times[i]);
            }
        }
    }
}
