/**
 * Seeded runs that check the order of commands in an ordered traffic class from what blocks read.
 *
 * <p>{@link sagepulley.scenario.order.OrderSoakRun} owns a run: a cluster with two gateways, the
 * clients and the thread that injects faults. Each client sends commands to extents of its own
 * without waiting for replies, then reads the blocks back and compares them with {@link
 * sagepulley.scenario.order.ExpectedBlocks}, which follows the order in which it sent the commands.
 */
package sagepulley.scenario.order;
