package sagepulley.discovery.http;

/**
 * Receives the events of a {@link DiscoveryRequest} on the event loop; times are in milliseconds.
 */
interface DiscoveryRequestListener {
    /** Called when the connection was refused because no process listens at the address. */
    void onRefused(DiscoveryRequest request);

    /** Called for each list, which reflects everything that discovery had as of the given time. */
    void onEndpointList(DiscoveryRequest request, EndpointListUpdate update, double asOf);

    /** Called for an empty line after a list: nothing had changed as of the given time. */
    void onHeartbeat(DiscoveryRequest request, double asOf);

    /**
     * Called when the connection ends after a list and not within the next one: everything that
     * discovery had as of the given time has been received.
     */
    void onCleanClose(DiscoveryRequest request, double asOf);

    /** Called when nothing was received in time; the request stays open. */
    void onOverdue(DiscoveryRequest request, String reason);

    /** Called when the request failed or its watch ended. */
    void onFailed(DiscoveryRequest request, String reason);

    /** Called when the request ended with a complete response. */
    void onCompleted(DiscoveryRequest request);
}
