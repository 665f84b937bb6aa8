/**
 * Stand-ins for the peers of a gateway: a small storage node and a small directory on real sockets,
 * with injectable faults. Tests, scenarios and the demo run against them.
 *
 * <p>Each stand-in confines its state to one event loop and passes calls from other threads to that
 * loop. Exceptions are {@link sagepulley.standin.Faults}, whose fields are set and read on any
 * thread, and {@link sagepulley.standin.TrafficRecorder}, which is called on the stand-ins' loops.
 */
package sagepulley.standin;
