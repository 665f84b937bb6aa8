/**
 * Maintains the set of known endpoints and how far each source of information about them is
 * trusted.
 *
 * <p>{@link sagepulley.membership.Membership} merges the directory's updates, the stored list, the
 * site file and the nodes' handshakes into one view. It is confined to the engine's thread of the
 * NBD gateway, and {@link sagepulley.persistence.EndpointListFile} stores its snapshots.
 *
 * <p>{@link sagepulley.membership.EndpointLease}, {@link sagepulley.membership.DiscoverySchedule}
 * and {@link sagepulley.membership.EndpointPollPolicy} determine how long the RESP gateway uses its
 * endpoint list and when it polls discovery. The first two are confined to the scheduler's thread.
 * This package does no I/O and reads no clock.
 */
package sagepulley.membership;
