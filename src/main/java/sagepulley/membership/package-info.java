/**
 * Who the endpoints are and how far each source of that knowledge is trusted.
 *
 * <p>{@link sagepulley.membership.Membership} merges the directory's updates, the stored list, the
 * site file and the nodes' handshakes into one view; it belongs to the engine's thread of the NBD
 * gateway, and {@link sagepulley.persistence.EndpointListFile} stores its snapshots. {@link
 * sagepulley.membership.EndpointLease}, {@link sagepulley.membership.DiscoverySchedule} and {@link
 * sagepulley.membership.EndpointPollPolicy} decide how long the RESP gateway relies on its endpoint
 * list and when it polls discovery; the first two belong to the scheduler's thread. Nothing here
 * does I/O or reads a clock.
 */
package sagepulley.membership;
