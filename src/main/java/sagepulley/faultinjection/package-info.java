/**
 * Fault injection on real gateway processes: a fleet of {@code serve} processes between stand-in
 * clients, storage endpoints and discovery, all on loopback, and the rules that check the traffic
 * on their sockets.
 *
 * <p>{@link sagepulley.faultinjection.TestFleet} owns processes, stand-ins and files and closes
 * them. Stand-ins run on background threads ({@link sagepulley.faultinjection.BackgroundTasks}) and
 * record traffic in concurrent collections, which the rules read after a run. In {@link
 * sagepulley.faultinjection.SoakRun} one thread performs the planned faults, and restarts of
 * gateways run in the background. All times are System.nanoTime unless stated otherwise.
 */
package sagepulley.faultinjection;
