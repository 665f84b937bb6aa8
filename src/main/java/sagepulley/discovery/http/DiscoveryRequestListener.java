package sagepulley.discovery.http;

/** What a {@link DiscoveryRequest} reports, on the event loop; times are milliseconds. */
interface DiscoveryRequestListener {
    /** The connection was refused: no process listens there. */
    void onRefused(DiscoveryRequest request);

    /** A list has come that was all that discovery had at a time. */
    void onEndpointList(DiscoveryRequest request, EndpointListUpdate update, double asOf);

    /** An empty line of a watch: nothing had changed at a time. */
    void onHeartbeat(DiscoveryRequest request, double asOf);

    /** The connection ends between two lists: all that discovery had at a time has come. */
    void onCleanClose(DiscoveryRequest request, double asOf);

    /** Nothing came in time; the request goes on. */
    void onOverdue(DiscoveryRequest request, String reason);

    /** The request has ended without what it was for. */
    void onFailed(DiscoveryRequest request, String reason);

    /** The request has ended with a complete response. */
    void onCompleted(DiscoveryRequest request);
}
