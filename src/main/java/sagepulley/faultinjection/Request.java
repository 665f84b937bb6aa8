package sagepulley.faultinjection;

/**
 * One client's request and how it ended, as seen at the client's socket. Times are System.nanoTime.
 */
final class Request {
    /** How a request ended for its client. */
    enum End {
        /** The value that a store made for it. */
        SERVED,
        /** A value that no store made for it. */
        WRONG_VALUE,
        REJECTED,
        FAILED,
        /** The connection ended without an answer. */
        CLOSED,
        /** No answer came until well after the deadline. */
        SILENT,
        /** The client went away first. */
        CANCELLED
    }

    final String id;
    final int gateway;
    final int shard;
    final long deadlineMillis;
    final boolean idempotent;
    long sentAt;

    /** Number of requests answered on its connection before. */
    int answeredBeforeOnConnection;

    volatile long endedAt;
    volatile End end;

    Request(String id, int gateway, int shard, long deadlineMillis, boolean idempotent) {
        this.id = id;
        this.gateway = gateway;
        this.shard = shard;
        this.deadlineMillis = deadlineMillis;
        this.idempotent = idempotent;
    }

    @Override
    public String toString() {
        return "at "
                + sentAt / 1_000_000 % 10_000_000
                + " ms: request "
                + id
                + " of gateway "
                + gateway
                + " for shard "
                + shard
                + " ("
                + end
                + ")";
    }
}
