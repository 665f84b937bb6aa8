/**
 * Stand-ins for what a gateway talks to: a storage node and a directory, small, over real sockets,
 * with faults on demand. Tests, scenarios and the demo run against them.
 *
 * <p>Each stand-in owns its state and keeps it to one event loop; calls from other threads hand
 * over to that loop. Exceptions are {@link sagepulley.standin.Faults}, whose fields are set and
 * read on any thread, and {@link sagepulley.standin.TrafficRecorder}, which is called on the
 * stand-ins' loops.
 */
package sagepulley.standin;
