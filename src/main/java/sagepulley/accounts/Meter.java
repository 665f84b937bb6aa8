package sagepulley.accounts;

import sagepulley.model.Band;

/** One operation's time as it is spent, from its arrival to its final answer. */
public final class Meter {
    final long volume;
    final Band band;
    final double units;
    final double arrivedAt;
    final double[] parts = new double[Spent.values().length];
    /** What runs now, since when, at which node (0: none) and behind whom. */
    Spent spends = Spent.RANKS_LATER;
    double since;
    int node;
    Ahead ahead = Ahead.NOBODY;
    boolean ended;

    Meter(long volume, Band band, double units, double arrivedAt) {
        this.volume = volume;
        this.band = band;
        this.units = units;
        this.arrivedAt = arrivedAt;
        this.since = arrivedAt;
    }

    /** Milliseconds spent in a part so far. */
    public double spent(Spent part) {
        return parts[part.ordinal()];
    }

    /** What runs now. */
    public Spent spends() {
        return spends;
    }
}
