/**
 * Snapshots of the NBD gateway's state on disk.
 *
 * <p>{@link sagepulley.persistence.SnapshotFile} replaces a file atomically and checks what it
 * reads. Three files build on it, each with its format: {@link sagepulley.persistence.AccountFile}
 * (latency accounts, CBOR; the site file's {@code [accounts] file}), {@link
 * sagepulley.persistence.EndpointListFile} (endpoint list, JSON; {@code [membership] list}) and
 * {@link sagepulley.persistence.HolderFile} (extent holders, zstd; {@code [membership] holders}).
 * The state itself belongs to the engine's thread; a {@link sagepulley.persistence.PeriodicWriter}
 * asks it for a copy and writes that on a thread of its own.
 */
package sagepulley.persistence;
