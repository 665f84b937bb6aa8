package sagepulley.transport;

/**
 * Divides the memory of the process between the purposes for which peers make it keep bytes. All of
 * these bytes are on the heap. The limits sum up to nine sixteenths of it; the rest is for the
 * state of the gateway itself and for garbage between two collections.
 *
 * @param clientInputBytes limit of commands received in part and of input that waits
 * @param requestBytes limit of commands in flight and of replies not yet written
 * @param endpointInputBytes limit of replies of endpoints received in part
 * @param discoveryBytes limit of endpoint lists received in part
 */
public record MemoryLimits(
        long clientInputBytes, long requestBytes, long endpointInputBytes, long discoveryBytes) {
    private static final double CLIENT_INPUT_FRACTION = 1.0 / 8;
    private static final double REQUEST_FRACTION = 1.0 / 4;
    private static final double ENDPOINT_INPUT_FRACTION = 1.0 / 16;
    private static final double DISCOVERY_FRACTION = 1.0 / 8;
    private static final int BYTES_PER_MB = 1 << 20;

    /**
     * Returns the limits for the heap that this process really has, or for the configured memory if
     * that is less.
     *
     * @param configuredMb the configured memory of the process in MB
     */
    public static MemoryLimits ofProcess(double configuredMb) {
        return of(Math.min((double) Runtime.getRuntime().maxMemory(), configuredMb * BYTES_PER_MB));
    }

    /** Returns the limits for a heap of this size. */
    static MemoryLimits of(double heapBytes) {
        return new MemoryLimits(
                (long) (heapBytes * CLIENT_INPUT_FRACTION),
                (long) (heapBytes * REQUEST_FRACTION),
                (long) (heapBytes * ENDPOINT_INPUT_FRACTION),
                (long) (heapBytes * DISCOVERY_FRACTION));
    }
}
