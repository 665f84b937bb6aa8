/**
 * Scripted scenarios, played through real gateways against stand-ins on loopback, and the rules
 * that judge what passed on the sockets; experiments that compare and measure gateways in the same
 * way.
 *
 * <p>{@link sagepulley.scenario.ScenarioRunner} owns a run: the cluster, the load generators and
 * the thread on which scripted events happen. Stand-ins and clients run on the cluster's event
 * loops and record into one {@link sagepulley.scenario.SocketEventLog} and one {@link
 * sagepulley.scenario.BlockHistory}, which are thread-safe. The rules read these once the run is
 * over.
 */
package sagepulley.scenario;
