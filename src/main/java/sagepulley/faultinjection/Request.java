package sagepulley.faultinjection;

/** A client's request and its outcome as seen at the client's socket. Times are System.nanoTime. */
final class Request {
    /** Outcome of a request for its client. */
    enum End {
        /** The answer is the value that a store made for the request. */
        SERVED,
        /** The answer is a value that no store made for the request. */
        WRONG_VALUE,
        REJECTED,
        FAILED,
        /** The connection ended without an answer. */
        CLOSED,
        /** No answer arrived until well after the deadline. */
        SILENT,
        /** The client disconnected first. */
        CANCELLED
    }

    final String id;
    final int gateway;
    final int shard;
    final long deadlineMillis;
    final boolean idempotent;
    long sentAt;

    /** Number of requests answered before on the same connection. */
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
