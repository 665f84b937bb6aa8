/**
 * The simulator's protocol: batches of events in, batches of decisions out, over one pair of
 * streams. {@link sagepulley.simulator.SimulatorAdapter} owns the simulated gateways, each with an
 * engine of its own; the answers follow from the input alone. One thread.
 */
package sagepulley.simulator;
