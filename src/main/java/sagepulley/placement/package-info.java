/**
 * Caches, for one gateway, which cell holds each extent.
 *
 * <p>{@link sagepulley.placement.ExtentHolders} is confined to the engine's thread of the NBD
 * gateway. Its contents are stored in the holder file ({@link sagepulley.persistence.HolderFile})
 * and verified at first use after a restart. This package does no I/O and reads no clock.
 */
package sagepulley.placement;
