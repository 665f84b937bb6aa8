package sagepulley.codec.nbd;

/** Limits the bytes of requests in flight. Called on the event loops of the connections. */
public interface AdmissionGate {
    /**
     * Counts a request's bytes (payload to receive, or data to return) if they are admitted, and
     * returns whether they are.
     *
     * @param retry runs on any thread when a rejected request should be tried again
     */
    boolean admit(long bytes, Runnable retry);

    /** Returns admitted bytes to the gate. */
    void release(long bytes);
}
