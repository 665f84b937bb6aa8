package sagepulley.codec.nbd;

/** Decides whether a connection may take in another request. Used from the connections' loops. */
public interface AdmissionGate {
    /**
     * Counts bytes (payload to come, or data asked for) if they are admitted.
     *
     * @param retry runs once it is worth asking again after a refusal, on any thread
     */
    boolean admit(long bytes, Runnable retry);

    /** Returns admitted bytes. */
    void release(long bytes);
}
