/**
 * Hosts the scheduler for one gateway. {@link sagepulley.engine.GatewayEngine} owns the operations
 * in flight, the endpoints and the volumes; it is told of events by whoever owns the protocol, asks
 * the scheduler, and hands decisions to a {@link sagepulley.engine.DecisionSink}. One thread calls
 * it; there are no locks and no input or output here.
 */
package sagepulley.engine;
