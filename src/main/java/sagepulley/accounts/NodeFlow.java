package sagepulley.accounts;

/** Units that one node executed for this gateway in one window of time, by volume. */
final class NodeFlow implements Mergeable<NodeFlow> {
    static final int MAX_VOLUMES = 24;

    /**
     * Units in place of milliseconds, under keys of the cause kind NEIGHBOUR. The estimate flag of
     * the key marks writes.
     */
    final CauseCharges units = new CauseCharges(MAX_VOLUMES);

    void addWork(long volume, boolean isWrite, double amount) {
        units.add(Cause.key(Cause.Kind.NEIGHBOUR, volume, 0, isWrite), amount);
    }

    @Override
    public void add(NodeFlow other) {
        units.addAll(other.units);
    }

    @Override
    public boolean isEmpty() {
        return units.size() == 0;
    }
}
