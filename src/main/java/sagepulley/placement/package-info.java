/**
 * Which cell holds which extent, as one gateway knows it.
 *
 * <p>{@link sagepulley.placement.ExtentHolders} belongs to the engine's thread of the NBD gateway.
 * What it knows is stored in the holder file ({@link sagepulley.persistence.HolderFile}) and
 * verified at first use after a restart. No I/O, no clock.
 */
package sagepulley.placement;
