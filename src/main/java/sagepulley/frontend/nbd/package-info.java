/**
 * Serves NBD clients: accepts their connections, splits their requests at extent edges into
 * operations, and answers each request once.
 *
 * <p>{@link sagepulley.frontend.nbd.NbdGateway} owns the listener, the sessions, the event loops
 * and the snapshot files. Each client's {@code NbdSession} lives on that client's event loop; all
 * else belongs to {@code NbdEngine} and lives on its one event loop, so it takes no locks:
 *
 * <ul>
 *   <li>{@code PendingRequests}: requests in flight, and the graceful shutdown
 *   <li>{@code OperationDispatcher}: the scheduler, the attempts in flight and their timeouts
 *   <li>{@code ExtentLocator}: which cell holds which extent; lookups and claims at the directory
 *   <li>{@code NodeConnectionRegistry}: the nodes and their connections
 *   <li>{@code EndpointListFollower}: the membership
 *   <li>{@code OperationAccounting}: the accounts
 * </ul>
 *
 * <p>Clients' loops hand requests over by message; {@code BufferBudget} and {@code Counters} are
 * shared by all threads.
 */
package sagepulley.frontend.nbd;
