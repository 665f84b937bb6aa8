package sagepulley.accounts;

/**
 * Units that one node worked on for this gateway over one stretch of time, by volume: reads and
 * writes.
 */
final class Flow implements Span<Flow> {
    static final int MOST_VOLUMES = 24;

    /**
     * Keyed like causes (a neighbour's number), with units in place of time; writes under their own
     * mark.
     */
    final Charges units = new Charges(MOST_VOLUMES);

    void worked(long volume, boolean writes, double amount) {
        units.add(Cause.key(Cause.Kind.NEIGHBOUR, volume, 0, writes), amount);
    }

    @Override
    public void add(Flow other) {
        units.addAll(other.units);
    }

    @Override
    public boolean empty() {
        return units.size() == 0;
    }
}
