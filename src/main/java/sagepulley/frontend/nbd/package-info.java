/**
 * Serves NBD clients: accepts their connections, splits their requests at extent boundaries into
 * operations, and sends one reply to each request.
 *
 * <p>{@link sagepulley.frontend.nbd.NbdGateway} owns the listener, the client connections, the
 * event loops and the snapshot files. Each client's {@code NbdSession} is confined to that client's
 * event loop. All other modules belong to {@code NbdEngine} and are confined to its event loop, so
 * they need no locks:
 *
 * <ul>
 *   <li>{@code PendingRequests}: requests in flight and the graceful shutdown
 *   <li>{@code OperationDispatcher}: the scheduler, the attempts in flight and their timeouts
 *   <li>{@code ExtentLocator}: the holders of extents; lookups and claims at the directory
 *   <li>{@code NodeConnectionRegistry}: the nodes and their connections
 *   <li>{@code EndpointListFollower}: the endpoint list and the membership
 *   <li>{@code OperationAccounting}: the latency accounts
 * </ul>
 *
 * <p>Client event loops pass requests to the engine as tasks. {@code BufferBudget} and {@code
 * Counters} are shared by all threads.
 */
package sagepulley.frontend.nbd;
