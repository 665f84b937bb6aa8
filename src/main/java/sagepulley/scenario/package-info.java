/**
 * Runs scripted scenarios through real gateways against stand-in nodes on loopback and checks the
 * recorded traffic against the rules for gateways. Also contains the experiments that measure and
 * compare gateways in the same setup.
 *
 * <p>{@link sagepulley.scenario.ScenarioRunner} owns a run: the cluster, the load generators and
 * the thread that executes scripted events. Stand-ins and clients run on the cluster's event loops
 * and record into one {@link sagepulley.scenario.SocketEventLog} and one {@link
 * sagepulley.scenario.BlockHistory}, which are thread-safe. The rules check the former after the
 * run.
 */
package sagepulley.scenario;
