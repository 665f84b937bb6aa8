/**
 * Implements the simulator's protocol: batches of events in, batches of decisions out, over one
 * pair of streams. {@link sagepulley.simulator.SimulatorAdapter} owns the simulated gateways, each
 * with its own engine. The replies depend on the input alone. Single-threaded.
 */
package sagepulley.simulator;
