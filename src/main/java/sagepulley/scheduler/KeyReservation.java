package sagepulley.scheduler;

/**
 * The place of a request in the order of a range of keys, held for its operations that have not
 * arrived yet. They arrive in ascending order of their keys. Owned by {@link KeyOrdering}.
 */
public final class KeyReservation {
    /** The position that all operations of the request take in the queues of their keys. */
    final long position;

    private final long lastKey;
    private long firstKey;

    KeyReservation(long position, long firstKey, long lastKey) {
        this.position = position;
        this.firstKey = firstKey;
        this.lastKey = lastKey;
    }

    /** Returns whether the request's operation on a key has not arrived yet. */
    boolean covers(long key) {
        return firstKey <= key && key <= lastKey;
    }

    /** Records that the request's operation on a key has arrived. */
    void onArrival(long key) {
        firstKey = key + 1;
    }

    /** Returns whether all operations of the request have arrived. */
    boolean isUsedUp() {
        return firstKey > lastKey;
    }
}
