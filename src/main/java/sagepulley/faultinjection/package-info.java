/**
 * Fault injection on real gateway processes: a fleet of {@code serve} processes between stand-ins
 * for clients, storage endpoints and discovery, all on loopback, and the rules that judge what
 * passed on their sockets.
 *
 * <p>{@link sagepulley.faultinjection.TestFleet} owns processes, stand-ins and files and closes
 * them. Stand-ins run on threads of their own ({@link sagepulley.faultinjection.BackgroundTasks})
 * and record what they see in concurrent collections; the rules read these once a run is over. In
 * {@link sagepulley.faultinjection.SoakRun} one thread performs the planned faults, and restarts of
 * gateways run beside it. All times are System.nanoTime unless said otherwise.
 */
package sagepulley.faultinjection;
