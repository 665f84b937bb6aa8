package sagepulley.codec.nbd;

/** Says whether a connection may take another request into its hands. */
public interface AdmissionGate {
    /**
     * Counts so many bytes (payload to come, or data asked for) and tells true; or tells false and
     * calls later, on any thread, once it is worth asking again.
     */
    boolean admit(long bytes, Runnable later);

    /**
     * What was admitted but will never become a request, for its connection ended before it was
     * whole.
     */
    void release(long bytes);
}
