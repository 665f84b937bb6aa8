/**
 * Hosts the scheduler for one gateway. {@link sagepulley.engine.GatewayEngine} owns the operations
 * in flight, the endpoints and the volumes. Protocol adapters pass events to it, and it passes the
 * scheduler's decisions to a {@link sagepulley.engine.DecisionSink}. All calls come from one
 * thread; this package has no locks and does no I/O.
 */
package sagepulley.engine;
