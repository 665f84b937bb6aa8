package sagepulley.accounts;

/**
 * Units that one node worked on for this gateway over one stretch of time, by volume: reads and
 * writes.
 */
final class NodeFlow implements Mergeable<NodeFlow> {
    static final int MOST_VOLUMES = 24;

    /**
     * Keyed like causes (a neighbour's number), with units in place of time; writes under their own
     * mark.
     */
    final CauseCharges units = new CauseCharges(MOST_VOLUMES);

    void worked(long volume, boolean writes, double amount) {
        units.add(Cause.key(Cause.Kind.NEIGHBOUR, volume, 0, writes), amount);
    }

    @Override
    public void add(NodeFlow other) {
        units.addAll(other.units);
    }

    @Override
    public boolean empty() {
        return units.size() == 0;
    }
}
